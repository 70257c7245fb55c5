"""Loads the public names of a package on first use.

Both kinds of daemons share the packages of this project, but each needs only
some of the modules.  Importing the others, and the libraries that they need,
would delay the start, during which callers wait, and use memory: the other
kind's modules 60 to 80 ms and 4 MB, their library 160 to 250 ms and 14 MB.  So
a package's ``__init__`` lists its public names by module, and a module is
imported when one of its names is first used.
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
        The public names by module, whose name is relative to the package.
    """
    module_of = {
        name: module for module, names in modules.items() for name in names
    }
    listed = sorted(module_of)

    def get_name(name: str) -> object:
        module = module_of.get(name)
        if module is None:
            # The import system also looks up names of submodules here.
            raise AttributeError(f'module {package!r} has no name {name!r}')
        value = getattr(importlib.import_module(f'{package}.{module}'), name)
        # Later uses find the name without calling this function.
        vars(importlib.import_module(package))[name] = value
        return value

    return get_name, lambda: listed, listed
