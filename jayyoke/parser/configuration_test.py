"""Tests of reading and writing configurations."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from jayyoke.core.config import (
    ClassKind,
    ClassSpec,
    Configuration,
    ServiceSpec,
    SettlementMethod,
    TeamSpec,
)
from jayyoke.core.error import InvalidDocument
from jayyoke.parser.configuration import (
    build_configuration,
    format_configuration,
    parse_configuration,
)

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
TEXT = (EXAMPLES / "ballenticket.yaml").read_text(encoding="utf-8")
DIGEST = "0" * 63 + "a"
BAD = {
    "empty": "",
    "not a mapping": "- services",
    "syntax": "services: [\n",
    "two documents": "services: {}\n---\nservices: {}\n",
    "alias": "services: &all {}\nclasses: *all\n",
    "merge": "services:\n  <<: {a: 1}\n",
    "tag": "services: !!python/object:os.system {}\n",
    "list as key": "? [a]\n: 1\n",
    "duplicate keys": "services:\n  a: {protocol: plain}\n  a: {protocol: plain}\n",
    "unknown key": "servces: {}\n",
    "forbidden": "services: {a: {protocol: engine, weights: {x: 1}, url: x, upstreams: []}}\n"
    "domains_out: [zug-c]\n",
    "wrong types": "services: {a: 3, b: {protocol: [engine], checks_fencing: maybe}}\nteams: []\n",
    "workers": "services: {a: {protocol: engine, workers: {cold_tokens: 9k, full_tokens: 8k}}}\n",
    "ranges": "services: {a: {protocol: plain, load_bound: .nan}}\n"
    "classes: {c: {kind: lookup, service: a, within: 0s, sure: 1.5, repeat: 99, priority: -1}}\n",
    "units": "services: {a: {protocol: plain}}\n"
    "classes: {c: {kind: late, service: a, within: 3 weeks, keep: true}}\n",
    "references": "classes: {c: {kind: once, service: desk, within: 1s}}\n"
    f"teams: {{t: {{key_sha256: {DIGEST}, classes: [d, 7]}}}}\n",
    "protocol of kind": "services: {a: {protocol: plain}}\n"
    "classes: {c: {kind: chat, service: a, within: 1s, first_token_within: 2s, stale_for: 1s}}\n",
    "once repeated": "services: {a: {protocol: plain}}\n"
    "classes: {c: {kind: once, service: a, within: 1s, repeat: 1}}\n",
    "keys": f"teams: {{t: {{key_sha256: secret}}, u: {{key_sha256: {DIGEST}}},"
    f" v: {{key_sha256: {DIGEST}}}, 'w x': {{}}}}\n",
    "nesting": "services: " + "[" * 40 + "]" * 40,
    "size": "#" * (5 << 20),
}


def read(text: str) -> str:
    try:
        parse_configuration(text, "file.yaml")
    except InvalidDocument as error:
        return str(error)
    return "accepted"


class TestFindings:
    @pytest.mark.parametrize("name", BAD)
    def test_bad_document(self, name, snapshot):
        """Guards against findings that are missing, at a wrong line or unclear."""
        assert read(BAD[name]) == snapshot

    def test_secret_is_not_shown(self):
        """Guards against a secret key in a finding if it is given instead of its hash."""
        assert "secret" not in read("teams: {t: {key_sha256: secret}}")

    @seed(1)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.data())
    def test_mutated_text_never_crashes(self, data):
        """Guards against a traceback for a damaged file."""
        text = TEXT
        for _ in range(data.draw(st.integers(1, 4))):
            start = data.draw(st.integers(0, len(text)))
            end = min(len(text), start + data.draw(st.integers(0, 40)))
            fragments = st.sampled_from(
                ["&a ", "*a", "<<: ", "{", "]", "\t", "? ", "!!int ", "0x", "|"]
            )
            text = text[:start] + data.draw(st.text(max_size=6) | fragments) + text[end:]
        assert read(text)

    @seed(2)
    @settings(max_examples=300, deadline=None, database=None)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(["services", "classes", "teams", "domains_out", "a", "kind"])
                    | st.text(max_size=4),
                    inner,
                    max_size=4,
                )
            ),
        )
    )
    def test_plain_data_never_crashes(self, plain):
        """Guards against a traceback for a malformed row or request."""
        try:
            build_configuration(plain, 1)
        except InvalidDocument as error:
            assert error.findings


names = st.from_regex(r"\A[a-z][a-z0-9.-]{0,8}\Z")
seconds = st.floats(0.001, 3600.0) | st.sampled_from([0.036, 0.3, 1.0, 90.0, 3600.0])


@st.composite
def configurations(draw) -> Configuration:
    services = {}
    for name in draw(st.sets(names, min_size=1, max_size=3)):
        cold = draw(st.integers(1, 10**6))
        services[name] = ServiceSpec(
            name,
            draw(st.sampled_from(["engine", "plain"])),
            draw(st.sampled_from(SettlementMethod)),
            draw(st.booleans()),
            draw(st.booleans()),
            draw(st.floats(1.0, 10.0)),
            cold,
            cold + draw(st.integers(0, 10**6)),
            draw(seconds),
        )
    classes = {}
    for name in draw(st.sets(names, max_size=3)):
        service = services[draw(st.sampled_from(sorted(services)))]
        kinds = [kind for kind in ClassKind if kind is not ClassKind.CHAT]
        kind = ClassKind.CHAT if service.protocol == "engine" else draw(st.sampled_from(kinds))
        classes[name] = _draw_class(draw, name, kind, service.name)
    teams = {}
    for index, name in enumerate(draw(st.sets(names, max_size=3))):
        allowed = draw(st.lists(st.sampled_from(sorted(classes)), unique=True)) if classes else []
        teams[name] = TeamSpec(name, f"{index:064x}", tuple(allowed))
    out = draw(st.frozensets(names, max_size=2))
    return Configuration(draw(st.integers(0, 99)), services, classes, teams, out)


def _draw_class(draw, name: str, kind: ClassKind, service: str) -> ClassSpec:
    within_s = draw(seconds)
    default = ClassSpec(name, kind, service, within_s)
    first_s = min(default.first_token_within_s, within_s)
    values = {"first_token_within_s": first_s}
    if kind is ClassKind.CHAT:
        values = {"first_token_within_s": min(draw(seconds), within_s)}
        values["between_tokens_within_s"] = draw(seconds)
        values["model"] = draw(st.sampled_from(["", "m 1"]))
    if kind is ClassKind.LOOKUP:
        values["stale_for_s"] = draw(seconds)
    if kind in (ClassKind.ONCE, ClassKind.LATE, ClassKind.TAG):
        values["keep_s"] = draw(st.floats(1.0, 86400.0))
    values["max_repeats"] = 0 if kind is ClassKind.ONCE else draw(st.integers(0, 10))
    return ClassSpec(
        name,
        kind,
        service,
        within_s,
        target_share=draw(st.floats(0.5, 0.999)),
        priority=draw(st.integers(0, 9)),
        **values,
    )


class TestRoundTrip:
    @seed(3)
    @settings(max_examples=150, deadline=None, database=None)
    @given(configurations())
    def test_formatted_configuration_is_read_back(self, configuration):
        """Guards against instances that read a different configuration from the accepted one."""
        plain = json.loads(json.dumps(format_configuration(configuration)))
        assert build_configuration(plain, configuration.version) == configuration

    @pytest.mark.parametrize("name", ["ballenticket", "tapir-ridge"])
    def test_examples(self, name):
        """Guards against an example that cannot be applied."""
        text = (EXAMPLES / f"{name}.yaml").read_text(encoding="utf-8")
        configuration = parse_configuration(text, name)
        assert len(configuration.teams) == 10
        assert build_configuration(format_configuration(configuration), 0) == configuration
