#include "entry/settings.h"

#define FIELD(name) offsetof (struct eg_entry_settings, name)

static const struct eg_setting rows[] = {
    {"node.name", EG_SETTING_TEXT, "", 1, EG_ENTRY_NAME_BYTES, NULL,
     FIELD (name), "Name of this entry VM, unique in the deployment"},
    {"node.failure_domain", EG_SETTING_TEXT, "", 1, EG_ENTRY_NAME_BYTES, NULL,
     FIELD (domain), "Failure domain of this entry VM"},
    {"node.first_start", EG_SETTING_BOOLEAN, "", 0, 0, "false",
     FIELD (first_start), "Whether the whole system starts for the first time"},
    {"listen.callers", EG_SETTING_ADDRESS, "", 0, EG_ENTRY_ADDRESS_BYTES, NULL,
     FIELD (listen_callers), "Where callers come in"},
    {"listen.readiness", EG_SETTING_ADDRESS, "", 0, EG_ENTRY_ADDRESS_BYTES,
     NULL, FIELD (listen_readiness), "Where the balancer asks for readiness"},
    {"listen.metrics", EG_SETTING_ADDRESS, "", 0, EG_ENTRY_ADDRESS_BYTES, NULL,
     FIELD (listen_metrics), "Where metrics are served, as /metrics"},
    {"store.address", EG_SETTING_ADDRESS, "", 0, EG_ENTRY_ADDRESS_BYTES, NULL,
     FIELD (store_address), "The platform's object store"},
    {"log.level", EG_SETTING_TEXT, "", 1, 16, "info", FIELD (log_level),
     "Least severe level logged: error, warning, notice, info or debug"},
    {"limits.memory_mb", EG_SETTING_INTEGER, "MB", 32, 1048576, NULL,
     FIELD (memory_mb), "Memory that the process may use"},
    {"limits.descriptors", EG_SETTING_INTEGER, "descriptors", 64, 10000000,
     NULL, FIELD (descriptors), "File descriptors that the process may use"},
    {"stop.grace_ms", EG_SETTING_INTEGER, "ms", 0, 3600000, NULL,
     FIELD (stop_grace_ms), "Longest time that a planned stop may take"},
    {"keys.revocation_bounded", EG_SETTING_BOOLEAN, "", 0, 0, "true",
     FIELD (revocation_bounded),
     "Whether keys may not be used once the configuration is too old"},
    {"keys.revocation_ms", EG_SETTING_INTEGER, "ms", 100, 3600000, NULL,
     FIELD (revocation_ms),
     "Time within which a key that was taken away must stop working"},
    {"retry.ratio", EG_SETTING_NUMBER, "", 0, 100, NULL, FIELD (retry_ratio),
     "Requests sent once more for each request, over all entry VMs"},
    {"retry.window_ms", EG_SETTING_INTEGER, "ms", 100, 3600000, NULL,
     FIELD (retry_window_ms), "Time over which these are counted"},
    {"retry.extra", EG_SETTING_INTEGER, "requests", 0, 10000000, NULL,
     FIELD (retry_extra), "Requests sent once more beyond the ratio"},
    {"engines.stall_ms", EG_SETTING_INTEGER, "ms", 1, 3600000, "2000",
     FIELD (stall_ms),
     "Time after which engines cut off work that waits for a dead server"},
    {"engines.fenced", EG_SETTING_BOOLEAN, "", 0, 0, "false",
     FIELD (orders_fenced), "Whether engines check fencing numbers of orders"},
};

const struct eg_setting_table eg_entry_setting_table = {
    rows, sizeof rows / sizeof rows[0]};
