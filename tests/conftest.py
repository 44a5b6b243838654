import hypothesis

# The same verdict on every run: examples follow from the test alone.
hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=40
)
hypothesis.settings.load_profile("ci")
