import asyncio

from benchmarks import bench_floods

# On a machine whose processors are all in use, callers lose some answers to
# the flood's own process.
MIN_ANSWER_SHARE = 0.5
EXIT_SLACK_S = 0.5


def test_sound_callers_are_answered_and_the_daemon_exits_beside_tiny_chunks(
    tmp_path,
):
    figures = asyncio.run(
        bench_floods.measure(tmp_path, "callers: chunks of 1 B", 200, 2.0, 1.0)
    )
    assert figures["answer_share"] > MIN_ANSWER_SHARE, figures
    assert figures["exit_s"] < figures["grace_s"] + EXIT_SLACK_S, figures
