#include "router/fleet.h"

#include <string.h>

#include "base/hash.h"
#include "base/log.h"
#include "base/map.h"

bool
eg_fleet_init (struct eg_fleet *self, int64_t poll_interval_us)
{
  *self = (struct eg_fleet){.poller = {.interval_us = poll_interval_us}};
  self->servers = eg_servers_new ();
  return self->servers != NULL;
}

void
eg_fleet_finish (struct eg_fleet *self)
{
  eg_servers_free (self->servers);
  eg_poller_finish (&self->poller);
  eg_vm_list_finish (&self->vms);
}

/* Marks servers that are not in the list as gone. The list may be long, so its
   addresses are indexed by hash. */
static void
mark_gone (struct eg_fleet *self, const struct eg_vm_list *list)
{
  struct eg_map by_address = {0};

  for (size_t i = 0; i < list->count; i++)
    if (!list->vms[i].entry)
      eg_map_put (&by_address, eg_hash_str (eg_str_from (list->vms[i].address)),
                  &list->vms[i]);
  for (uint32_t i = 0; i < eg_servers_count (self->servers); i++)
    {
      const struct eg_server *server = eg_servers_get (self->servers, i);

      if (server && *server->address
          && !eg_map_get (&by_address,
                          eg_hash_str (eg_str_from (server->address))))
        eg_servers_set_blocked (self->servers, i, EG_SERVER_GONE, true);
    }
  eg_map_finish (&by_address);
}

void
eg_fleet_apply_vm_list (struct eg_fleet *self, struct eg_vm_list *list)
{
  for (size_t i = 0; i < list->count; i++)
    {
      const struct eg_vm *vm = &list->vms[i];
      uint32_t server;

      if (vm->entry)
        continue;
      server = eg_servers_add (self->servers, eg_str_from (vm->address),
                               eg_str_from (vm->failure_domain));
      eg_servers_set_blocked (self->servers, server, EG_SERVER_LEAVING_LIST,
                              vm->leaving);
      eg_servers_set_blocked (self->servers, server, EG_SERVER_GONE, false);
    }
  mark_gone (self, list);
  eg_vm_list_finish (&self->vms);
  self->vms = *list;
  *list = (struct eg_vm_list){0};
}

uint32_t
eg_fleet_count_entry_vms (const struct eg_fleet *self)
{
  uint32_t count = 0;

  for (size_t i = 0; i < self->vms.count; i++)
    count += self->vms.vms[i].entry;
  return count > 0 ? count : 1;
}

bool
eg_fleet_has_entry_vm (const struct eg_fleet *self, struct eg_str address)
{
  for (size_t i = 0; i < self->vms.count; i++)
    if (self->vms.vms[i].entry
        && eg_str_equal (eg_str_from (self->vms.vms[i].address), address))
      return true;
  return false;
}

void
eg_fleet_apply_report (struct eg_fleet *self,
                       uint32_t server,
                       const struct eg_server_report *report,
                       int64_t now_us)
{
  int64_t backed_off_us = eg_servers_get (self->servers, server)->retry_at_us;

  if (!eg_servers_report (self->servers, server, report, now_us))
    return;
  /* A report from before the end of the back-off may be older than the refusal
     and does not clear it. */
  if (!report->draining && report->as_of_us > backed_off_us)
    eg_servers_set_blocked (self->servers, server, EG_SERVER_LEAVING_ANSWER,
                            false);
}

uint32_t
eg_fleet_poll_done (struct eg_fleet *self,
                    const struct eg_backend_event *event,
                    int64_t now_us)
{
  uint32_t server =
      eg_servers_find (self->servers, eg_str_from (event->address));
  bool silent;

  if (server == EG_SERVER_NONE)
    return EG_SERVER_NONE;
  silent = eg_poller_poll_done (&self->poller, server, event);
  if (event->kind == EG_BACKEND_LOAD)
    eg_fleet_apply_report (self, server, &event->report, now_us);
  else if (!event->not_found)
    eg_servers_record_failure (self->servers, server, now_us);
  if (self->observer.polled)
    self->observer.polled (self->observer.context, server, event, silent);
  if (!silent)
    return EG_SERVER_NONE;
  eg_log (EG_LOG_WARNING, "fleet", "event=server-silent server=%s",
          event->address);
  return server;
}

void
eg_fleet_server_refused (struct eg_fleet *self, struct eg_str address)
{
  uint32_t server = eg_servers_find (self->servers, address);

  if (server == EG_SERVER_NONE)
    return;
  eg_servers_set_blocked (self->servers, server, EG_SERVER_LEAVING_ANSWER,
                          true);
  if (self->observer.refused)
    self->observer.refused (self->observer.context, server);
}

void
eg_fleet_send_polls (struct eg_fleet *self,
                     struct eg_backend_worker *backend,
                     int64_t now_us)
{
  struct eg_backend_command *command;

  while ((command = eg_poller_next (&self->poller, self->servers, now_us)))
    if (!eg_backend_worker_push (backend, command))
      {
        eg_poller_send_failed (
            &self->poller,
            eg_servers_find (self->servers, eg_str_from (command->address)));
        eg_backend_command_free (command);
        return;
      }
}
