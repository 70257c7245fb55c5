"""Compile a base file and the sites' overlays to one configuration."""

import msgspec
from returns import result

from samphiredock import protocol
from samphiredock.state import _configuration
from samphiredock.state import _settings


class ConfigurationSource(msgspec.Struct, frozen=True):
    """The stored object: what operators wrote, and which change it was.

    ``change_id`` lets a writer whose answer was lost recognise its own
    change when it reads the object back; ``recent`` lists the last
    accepted changes, this one last, so that it can do so also after
    later changes.
    """

    revision: int
    change_id: str
    author: str
    accepted_at_ms: int
    base: dict
    overlays: dict[str, dict]
    recent: list[protocol.ChangeSummary] = []


def compile_source(
    source: ConfigurationSource,
) -> result.Result[
    _configuration.Configuration, tuple[_settings.Problem, ...]
]:
    """Return the configuration in force under ``source``."""
    base = dict(source.base)
    try:
        services = {
            name: _service(name, row) for name, row in base['services'].items()
        }
        sites = {
            name: msgspec.convert(
                {'name': name, 'service_caps': {}, **row},
                _configuration.Site,
            )
            for name, row in base['sites'].items()
        }
        targets = {
            name: msgspec.convert({'name': name, **row}, _configuration.Target)
            for name, row in base['targets'].items()
        }
        limits = msgspec.convert(base.get('limits', {}), _configuration.Limits)
    except (KeyError, TypeError, msgspec.ValidationError) as error:
        problem = _settings.Problem(
            'base', '$', str(error), 'a valid configuration'
        )
        return result.Failure((problem,))
    return result.Success(
        _configuration.Configuration(
            source.revision,
            services,
            sites,
            tuple(base['indexes']),
            targets,
            limits,
        )
    )


def _service(name: str, row: dict) -> _configuration.Service:
    searches = {
        key: msgspec.convert({'name': key, **value}, _configuration.Search)
        for key, value in row.get('searches', {}).items()
    }
    operations = {
        key: msgspec.convert({'name': key, **value}, _configuration.Operation)
        for key, value in row.get('operations', {}).items()
    }
    return _configuration.Service(
        name,
        searches,
        operations,
        row.get('weight', 1.0),
        row.get('max_in_flight', 1_000),
    )
