"""Public names of a package, each loaded with its first use.

Two doors share the packages of this project, and a daemon uses the modules
of one door only.  Loading those of the other as well would cost a daemon 60
to 80 ms of its start beside the 170 to 270 ms of its own door, in which its
callers wait, and 4 MB; the library that they need costs 160 to 250 ms and 14
MB more (processor time and resident memory, four starts on a busy machine).
So a package's ``__init__`` lists its public names by the module that has
them, and a module is imported when one of its names is first asked for.
"""

from collections import abc
import importlib

GetName = abc.Callable[[str], object]
ListNames = abc.Callable[[], list[str]]


def public_names(
    package: str, modules: abc.Mapping[str, tuple[str, ...]]
) -> tuple[GetName, ListNames, list[str]]:
    """Return ``__getattr__``, ``__dir__`` and ``__all__`` of a package.

    Parameters
    ----------
    package
        The package's full name.
    modules
        By module, relative to the package: the public names that it has.
    """
    module_of = {
        name: module for module, names in modules.items() for name in names
    }
    listed = sorted(module_of)

    def get_name(name: str) -> object:
        module = module_of.get(name)
        if module is None:
            # Also asked by the import system for names of submodules.
            raise AttributeError(f'module {package!r} has no name {name!r}')
        value = getattr(importlib.import_module(f'{package}.{module}'), name)
        # The next use finds it without a call.
        vars(importlib.import_module(package))[name] = value
        return value

    return get_name, lambda: listed, listed
