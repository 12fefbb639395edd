"""An accepted bundle never reverts, and one version is one bundle."""

from fakes_fleet import FakeFleet


def check(fleet: FakeFleet) -> list[str]:
    """Return the versions that went back within one process."""
    lines = []
    known: dict[int, bytes] = {}
    for (name, incarnation), taken in fleet.bundles.items():
        versions = [version for version, _digest in taken]
        if versions != sorted(set(versions)):
            lines.append(f'{name}/{incarnation}: versions {versions}')
        for version, digest in taken:
            if known.setdefault(version, digest) != digest:
                lines.append(f'{name}: another bundle of version {version}')
    return lines
