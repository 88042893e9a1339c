"""Derive prompts' tokens, generated text and prefix hashes deterministically."""

import hashlib

BLOCK_TOKENS = 16  # tokens of one block of the prefix cache
MIN_ANSWER_TOKENS = 8
MAX_ANSWER_TOKENS = 64
HASH_DIGITS = 16

_ONSETS = ("b", "d", "f", "g", "k", "l", "m", "n", "p", "r", "s", "t")
_VOWELS = ("a", "e", "i", "o", "u")


def prompt_tokens(text: str) -> tuple[str, ...]:
    """Return a prompt's tokens, which are its words."""
    return tuple(text.split())


def answer_length(key: str) -> int:
    """Return how many tokens the answer to a prompt has by nature."""
    span = MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS + 1
    return MIN_ANSWER_TOKENS + _number(key) % span


def answer_token(key: str, index: int) -> str:
    """Return token ``index`` of the answer, with its leading space."""
    number = _number(f"{key}/{index}")
    syllables = []
    for _ in range(2 + number % 2):
        number, onset = divmod(number, len(_ONSETS))
        number, vowel = divmod(number, len(_VOWELS))
        syllables.append(_ONSETS[onset] + _VOWELS[vowel])
    word = "".join(syllables)
    return word if index == 0 else f" {word}"


def answer_key(model: str, seed: int, prompt: tuple[str, ...]) -> str:
    """Return what the answer's text depends on; equal on every engine."""
    text = "\0".join((model, str(seed), *prompt))
    return hashlib.sha256(text.encode()).hexdigest()


def prefix_hashes(model: str, prompt: tuple[str, ...]) -> list[str]:
    """Return one hash for each whole block, each covering all blocks before it."""
    running = hashlib.sha256(model.encode())
    hashes = []
    whole = len(prompt) - len(prompt) % BLOCK_TOKENS
    for start in range(0, whole, BLOCK_TOKENS):
        block = prompt[start : start + BLOCK_TOKENS]
        running.update("\0".join(("", *block)).encode())
        hashes.append(running.hexdigest()[:HASH_DIGITS])
    return hashes


def _number(text: str) -> int:
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big")
