import hypothesis

# Derives the examples from the test function instead of a random seed, so that
# repeated runs give the same result.
hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=40
)
hypothesis.settings.load_profile("ci")
