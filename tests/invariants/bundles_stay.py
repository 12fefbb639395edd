"""The accepted version never decreases, and each version is one bundle."""

from fakes_fleet import FakeFleet


def check(fleet: FakeFleet) -> list[str]:
    """Return processes whose version did not grow, and ambiguous versions."""
    lines = []
    digest_by_version: dict[int, bytes] = {}
    for (name, incarnation), accepted in fleet.bundles.items():
        versions = [version for version, _digest in accepted]
        if versions != sorted(set(versions)):
            lines.append(f'{name}/{incarnation}: versions {versions}')
        for version, digest in accepted:
            if digest_by_version.setdefault(version, digest) != digest:
                lines.append(f'{name}: another bundle of version {version}')
    return lines
