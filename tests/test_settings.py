import unittest

from hypothesis import given, settings
from hypothesis.strategies import binary, integers, lists, text, tuples

from azurerelay.membership import (
    COMMAND_CODEC,
    ChangeSettings,
    ChangeStatus,
    ClusterState,
)
from azurerelay.sessions import GroupPosition, SessionToken, decode_token, encode_token
from azurerelay.settings import (
    SCHEMA,
    Assignment,
    GroupPolicy,
    SettingsTree,
    TreeNode,
    check_value,
)

KEY = "reads.max_staleness_ms"
PATH = "/region/service/group"


def _change(
    number: int,
    path: str = "/",
    value: object = 500,
    change_id: str = "c",
    key: str = KEY,
) -> bytes:
    return COMMAND_CODEC.encode(
        ChangeSettings(
            1, "ann", change_id, number, "why", path, (Assignment(key, value),), ()
        )
    )


class SettingsTreeTest(unittest.TestCase):
    def test_a_value_is_inherited_from_the_nearest_node_that_sets_it(self) -> None:
        tree = SettingsTree()
        self.assertEqual(tree.value(PATH, KEY), SCHEMA[KEY].default)
        for path, value in (
            ("/", 1),
            ("/region", 2),
            ("/region/service", 3),
            (PATH, 4),
        ):
            tree.apply(path, [Assignment(KEY, value)], [])
            self.assertEqual(tree.value(PATH, KEY), value)
        tree.apply(PATH, [], [KEY])
        origins = {e.key: e.origin for e in tree.effective(PATH)}
        self.assertEqual(origins[KEY], "/region/service")
        self.assertEqual(GroupPolicy.of(tree, "group").max_staleness_ms, 1)

    def test_all_findings_of_a_change_are_reported_together(self) -> None:
        tree = SettingsTree([TreeNode("/a/b/group", (Assignment(KEY, 1),))])
        findings = tree.check(
            "/x/y/group",
            [
                Assignment("no.such", 1),
                Assignment(KEY, -1),
                Assignment("leases.duration_ms", 500),
            ],
            ["also.unknown"],
        )
        self.assertEqual(len(findings), 5)

    def test_every_default_is_valid_for_its_setting(self) -> None:
        for spec in SCHEMA.values():
            with self.subTest(spec.key):
                self.assertIsNone(check_value("/", spec.key, spec.default))

    def test_invalid_paths_are_refused(self) -> None:
        for path in ("", "region", "/Region", "/a//b", "/a/b/c/d", "/a/"):
            with self.subTest(path):
                self.assertNotEqual(SettingsTree().check(path, [], []), ())


class ChangeTest(unittest.TestCase):
    def test_of_two_changes_based_on_the_same_number_the_second_conflicts(self) -> None:
        state = ClusterState()
        first = state.apply(1, _change(0, change_id="a"))
        second = state.apply(2, _change(0, change_id="b"))
        self.assertEqual((first.status, first.number), (ChangeStatus.ACCEPTED, 1))
        self.assertEqual((second.status, second.number), (ChangeStatus.CONFLICT, 1))

    def test_a_repeated_change_id_gets_the_same_outcome_also_after_a_restart(
        self,
    ) -> None:
        state = ClusterState()
        first = state.apply(1, _change(0, change_id="a"))
        restored = ClusterState()
        restored.restore(state.snapshot())
        self.assertEqual(restored.apply(2, _change(0, change_id="a")), first)
        self.assertEqual(restored.settings_number, 1)

    def test_the_audit_trail_is_bounded_and_survives_a_restart(self) -> None:
        state = ClusterState()
        for number in range(2_500):
            state.apply(
                number + 1, _change(number, change_id=f"c{number}", value=number)
            )
        restored = ClusterState()
        restored.restore(state.snapshot())
        self.assertEqual(restored.audit, state.audit)
        self.assertEqual(len(restored.audit), 2_500)
        last = restored.audit[-1]
        self.assertEqual((last.before, last.after), (f"{KEY}=2498", f"{KEY}=2499"))


class SessionTokenTest(unittest.TestCase):
    def test_a_damaged_token_never_decodes_to_another_token(self) -> None:
        encoded = encode_token(SessionToken((GroupPosition(3, 9, "g"),)))
        damaged = [
            encoded[:-1],
            encoded + "A",
            "x" + encoded[1:],
            "!!",
            "a" * 5_000,
        ]
        for number in range(len(encoded)):
            letter = "A" if encoded[number] != "A" else "B"
            damaged.append(encoded[:number] + letter + encoded[number + 1 :])
        for corrupted in damaged:
            decoded = decode_token(corrupted)
            if decoded.is_ok():
                self.assertEqual(decoded.ok_value, decode_token(encoded).ok_value)

    @settings(derandomize=True, database=None, max_examples=200)
    @given(
        lists(
            tuples(text(min_size=1, max_size=8), integers(0, 9), integers(0, 2**40)),
            max_size=80,
        )
    )
    def test_merging_keeps_the_newest_position_of_each_group(
        self, seen: list[tuple[str, int, int]]
    ) -> None:
        token = SessionToken()
        newest: dict[str, tuple[int, int]] = {}
        for group, term, position in seen:
            token = token.with_position(GroupPosition(term, position, group))
            if group in {p.group for p in token.positions}:
                newest[group] = max(newest.get(group, (0, 0)), (term, position))
        read = decode_token(encode_token(token)).ok_value
        self.assertEqual(read, token)
        if len({group for group, _, _ in seen}) <= 64:
            for group, expected in newest.items():
                found = read.position(group)
                self.assertEqual((found.term, found.position), expected)

    def test_positions_of_different_groups_are_not_compared(self) -> None:
        high, low = GroupPosition(9, 900, "g"), GroupPosition(1, 5, "h")
        with self.assertRaises(TypeError):
            max(high, low)
        with self.assertRaises(ValueError):
            high.later(low)
        token = SessionToken((high,)).with_position(low)
        self.assertEqual(token.position("h"), low)
        self.assertEqual(token.position("g"), high)

    @settings(derandomize=True, database=None, max_examples=200)
    @given(binary(max_size=60))
    def test_no_bytes_crash_the_decoder(self, data: bytes) -> None:
        decode_token(data.decode("latin-1"))
