"""Configuration files. Each is read and validated completely before anything is started or changed.

An invalid file raises ``ConfigError`` with a message of one line that names the file or the key. Keys and file formats
are an interface to operators. The platform's own configuration (``NODE_CONFIG``) is JSON, all other files are TOML.
"""

from lapishaven.config.contracts import load_contracts
from lapishaven.config.files import ConfigFiles, load_files
from lapishaven.config.node import NodeConfig, keep_class_numbers, load_config, parse_config
from lapishaven.config.storage import StorageRules, load_storage_rules
from lapishaven.config.uwsgi import UwsgiBackendConfig, UwsgiFrontendConfig, load_uwsgi
from lapishaven.config.values import Address, ConfigError

__all__ = [
    "Address",
    "ConfigError",
    "ConfigFiles",
    "NodeConfig",
    "StorageRules",
    "UwsgiBackendConfig",
    "UwsgiFrontendConfig",
    "keep_class_numbers",
    "load_config",
    "load_contracts",
    "load_files",
    "load_storage_rules",
    "load_uwsgi",
    "parse_config",
]
