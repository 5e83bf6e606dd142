/// Public header of the settings library, which reads the settings file of the
/// daemons of a VM.
#ifndef CHICORY_SERVERS_SETTINGS_SETTINGS_HPP
#define CHICORY_SERVERS_SETTINGS_SETTINGS_HPP

#include "servers/settings/vm_settings.hpp"

#endif
