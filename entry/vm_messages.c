#include "entry/vm_messages.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "entry/members.h"
#include "http/json.h"

/* Maximum message size; larger datagrams are not delivered on every network. */
#define MESSAGE_BYTES_MAX 8192
/* Depth of messages down to which a value that cannot be decoded is left out:
 * its members, and the elements of these. */
#define MESSAGE_LEVELS 2
/* Bytes of an unknown type that are logged. */
#define LOGGED_TYPE_BYTES 32

void
eg_vm_messages_init (struct eg_vm_messages *self, struct eg_members *members)
{
  memset (self, 0, sizeof *self);
  self->members = members;
}

static struct eg_vm_message_slot *
find_type (struct eg_vm_messages *self, struct eg_str name)
{
  for (size_t i = 0; i < self->type_count; i++)
    if (eg_str_equal (self->types[i].type.name, name))
      return &self->types[i];
  return NULL;
}

bool
eg_vm_messages_register (struct eg_vm_messages *self,
                         const struct eg_vm_message_type *type)
{
  if (type->name.len == 0 || !type->receive || find_type (self, type->name)
      || self->type_count == EG_VM_MESSAGE_TYPES_MAX)
    return false;
  self->types[self->type_count++] =
      (struct eg_vm_message_slot){.type = *type, .sent_us = 0};
  return true;
}

void
eg_vm_messages_send (struct eg_vm_messages *self,
                     struct eg_endpoint to,
                     struct eg_str text)
{
  struct sockaddr_in address = {
      .sin_family = AF_INET, .sin_port = to.port, .sin_addr.s_addr = to.ip};
  uv_buf_t part;

  if (!self->open)
    return;
  if (text.len == 0 || text.len > MESSAGE_BYTES_MAX)
    {
      eg_log (EG_LOG_WARNING, "messages", "event=message-not-sent bytes=%zu",
              text.len);
      return;
    }
  part = uv_buf_init ((char *) text.data, (unsigned) text.len);
  uv_udp_try_send (&self->socket, &part, 1, (const struct sockaddr *) &address);
}

void
eg_vm_messages_send_to_readers (struct eg_vm_messages *self, struct eg_str text)
{
  const struct eg_members *members = self->members;

  for (size_t i = 0; i < members->all_reader_count; i++)
    if (!eg_members_is_own (members, members->all_readers[i]))
      eg_vm_messages_send (self, members->all_readers[i], text);
}

static void
count_undecodable (struct eg_vm_messages *self,
                   struct eg_endpoint from,
                   size_t values,
                   int64_t now_us)
{
  struct in_addr ip = {from.ip};

  self->undecodable += values;
  if (values > 0 && eg_log_rate_admits (&self->partly_decoded, now_us))
    eg_log (EG_LOG_WARNING, "messages",
            "event=message-partly-undecodable from=%s:%u values=%zu "
            "times=%" PRIu64,
            inet_ntoa (ip), ntohs (from.port), values,
            self->partly_decoded.count);
}

static void
count_unknown (struct eg_vm_messages *self,
               struct eg_endpoint from,
               const char *type,
               int64_t now_us)
{
  struct in_addr ip = {from.ip};

  if (eg_log_rate_admits (&self->unknown, now_us))
    eg_log (EG_LOG_WARNING, "messages",
            "event=message-unreadable cause=\"unknown type\" from=%s:%u "
            "type=%.*s times=%" PRIu64,
            inet_ntoa (ip), ntohs (from.port), LOGGED_TYPE_BYTES,
            type ? type : "-", self->unknown.count);
}

/* VMs send from the address in their objects. Senders may be VMs of another
 * system that have the address of a former VM of this one. */
void
eg_vm_messages_receive (struct eg_vm_messages *self,
                        struct eg_endpoint from,
                        struct eg_str text,
                        int64_t now_us)
{
  const struct eg_vm_message_slot *slot;
  size_t undecodable = 0;
  json_t *message;
  json_t *kind;

  if (!eg_members_admit (self->members, from, now_us))
    {
      eg_members_count_foreign (self->members, EG_FOREIGN_MESSAGE, from,
                                now_us);
      return;
    }
  message = eg_json_parse_decodable (text, MESSAGE_LEVELS, &undecodable);
  count_undecodable (self, from, undecodable, now_us);
  kind = json_object_get (message, "kind");
  slot = find_type (self, (struct eg_str){json_string_value (kind),
                                          json_string_length (kind)});
  if (slot)
    slot->type.receive (slot->type.context, from, message, now_us);
  else
    count_unknown (self, from, json_string_value (kind), now_us);
  json_decref (message);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *space)
{
  static char bytes[65536];

  (void) handle;
  (void) suggested;
  space->base = bytes;
  space->len = sizeof bytes;
}

static void
on_datagram (uv_udp_t *socket,
             ssize_t len,
             const uv_buf_t *space,
             const struct sockaddr *address,
             unsigned flags)
{
  const struct sockaddr_in *source = (const struct sockaddr_in *) address;

  (void) flags;
  if (len <= 0 || !address)
    return;
  eg_vm_messages_receive (
      socket->data,
      (struct eg_endpoint){source->sin_addr.s_addr, source->sin_port},
      (struct eg_str){space->base, (size_t) len}, eg_clock_now_us ());
}

bool
eg_vm_messages_open (struct eg_vm_messages *self,
                     uv_loop_t *loop,
                     struct eg_endpoint endpoint)
{
  struct sockaddr_in bound = {.sin_family = AF_INET,
                              .sin_port = endpoint.port,
                              .sin_addr.s_addr = endpoint.ip};

  self->open = uv_udp_init (loop, &self->socket) == 0;
  self->socket.data = self;
  return self->open
         && uv_udp_bind (&self->socket, (const struct sockaddr *) &bound, 0)
                == 0
         && uv_udp_recv_start (&self->socket, on_alloc, on_datagram) == 0;
}

void
eg_vm_messages_finish (struct eg_vm_messages *self)
{
  if (self->open)
    uv_close ((uv_handle_t *) &self->socket, NULL);
  self->open = false;
}

bool
eg_vm_messages_may_send (const struct eg_vm_messages *self)
{
  return self->open && self->members->lists_read > 0;
}

void
eg_vm_messages_check (struct eg_vm_messages *self, int64_t now_us)
{
  if (!eg_vm_messages_may_send (self))
    return;
  for (size_t i = 0; i < self->type_count; i++)
    {
      struct eg_vm_message_slot *slot = &self->types[i];

      if (slot->type.send && now_us - slot->sent_us >= slot->type.period_us
          && slot->type.send (slot->type.context, now_us))
        slot->sent_us = now_us;
    }
}
