"""Weighted rendezvous hashing over many members at logarithmic cost."""

import xxhash

from snipetrestle.hashing import score

# Children of a tree node. The digits of the hash of a member's name are its path in the
# tree.
FAN_OUT = 16
_DIGIT_BITS = 4
# A deeper tree would need more members than the hash of a name can distinguish.
_MAX_DEPTH = 15
# Draws per requested candidate; later draws mostly return members again.
DRAWS_PER_CANDIDATE = 3


class _Node:
    """Tree node: a leaf with members, or an inner node with children by digit."""

    __slots__ = ("weight", "members", "children")

    def __init__(self, weights_by_member, depth=0):
        self.weight = sum(weights_by_member.values())
        self.members = None
        self.children = None
        if len(weights_by_member) <= FAN_OUT or depth >= _MAX_DEPTH:
            self.members = weights_by_member
            return
        groups = {}
        for member, weight in weights_by_member.items():
            digit = (
                xxhash.xxh3_64_intdigest(member.encode()) >> (_DIGIT_BITS * depth)
            ) % FAN_OUT
            groups.setdefault(digit, {})[member] = weight
        self.children = {
            digit: _Node(group, depth + 1) for digit, group in groups.items()
        }


class CandidateTree:
    """Tree of weighted members that selects the best ones for a key.

    Each draw descends from the root by weighted rendezvous hashing. A draw costs
    FAN_OUT hashes per level, so about 50 with 3,900 members. Up to FAN_OUT members the
    result is in exact rendezvous order.
    """

    def __init__(self, weights_by_member):
        self._root = _Node(dict(weights_by_member))
        self._size = len(weights_by_member)

    def __len__(self):
        return self._size

    def top_candidates(self, key, count):
        """Returns up to ``count`` distinct members for a key, best first."""
        if self._root.members is not None:
            members = self._root.members
            ranked = sorted(members, key=lambda name: -score(key, name, members[name]))
            return tuple(ranked[:count])
        candidates = {}
        for draw in range(count * DRAWS_PER_CANDIDATE):
            candidates[self._draw(f"{key}\0{draw}" if draw else key)] = True
            if len(candidates) == count:
                break
        return tuple(candidates)

    def _draw(self, key):
        node = self._root
        while node.members is None:
            children = node.children
            node = children[
                max(
                    children,
                    key=lambda digit: score(key, str(digit), children[digit].weight),
                )
            ]
        members = node.members
        return max(members, key=lambda name: score(key, name, members[name]))
