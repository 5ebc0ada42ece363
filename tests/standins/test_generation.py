"""Tests of the deterministic generated text."""

from standins.generation import TokenSource, reference_text

QUESTION = [{"role": "user", "content": "why did batch 7 fail"}]


def test_the_text_depends_only_on_model_and_prompt():
    text = reference_text("m", QUESTION, 50)
    assert text == reference_text("m", QUESTION, 50)
    assert text != reference_text("n", QUESTION, 50)
    assert text != reference_text("m", [*QUESTION, *QUESTION], 50)


def test_any_range_of_tokens_can_be_generated():
    source = TokenSource("m", QUESTION)
    whole = reference_text("m", QUESTION, 50)
    assert reference_text("m", QUESTION, 20) + "".join(source.tokens(21, 50)) == whole
    assert len(whole.split()) == 50
