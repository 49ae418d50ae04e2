#include "router/ruleset.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/map.h"
#include "http/json.h"
#include "policy/rule_delta.h"

#define WATCH_WAIT_US (10 * EG_US_PER_S)
#define WATCH_RETRY_US (500 * EG_US_PER_MS)
#define STORE_TIMEOUT_US EG_US_PER_S
/* Marks the tags of this module; tags of claims never reach this bit. */
#define TAG_BIT (UINT64_C (1) << 63)
#define TAG_WATCH TAG_BIT

struct edit_state
{
  struct eg_rule_edit edit;
  uint64_t tag;
  void (*done) (void *context, const struct eg_ruleset_result *result);
  void *context;
};

struct eg_ruleset
{
  struct eg_platform_worker *platform;
  struct eg_ruleset_callbacks callbacks;
  struct eg_random random;
  uint64_t version;
  uint64_t watch_version; /* Store version up to which changes were read. */
  struct eg_rule_document document;
  struct eg_buffer json;
  struct eg_buffer delta; /* From the preceding version; may be empty. */
  uint64_t delta_base;
  struct eg_rules *rules; /* NULL until the first version. */
  struct eg_map edits;
  uint64_t next_tag;
  bool watching;
  bool watch_in_progress;
  int64_t next_watch_us;
};

struct eg_ruleset *
eg_ruleset_new (struct eg_platform_worker *platform,
                uint64_t seed,
                const struct eg_ruleset_callbacks *callbacks)
{
  struct eg_ruleset *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->platform = platform;
  self->callbacks = *callbacks;
  self->watching = true;
  self->next_tag = TAG_WATCH + 1;
  eg_random_init (&self->random, seed);
  eg_rule_document_init (&self->document);
  return self;
}

static void
free_rules (struct eg_rules *rules)
{
  if (rules)
    eg_rules_finish (rules);
  free (rules);
}

void
eg_ruleset_free (struct eg_ruleset *self)
{
  struct edit_state *state;
  size_t cursor = 0;

  if (!self)
    return;
  while ((state = eg_map_next (&self->edits, &cursor)))
    {
      eg_rule_edit_finish (&state->edit);
      free (state);
    }
  eg_map_finish (&self->edits);
  eg_rule_document_finish (&self->document);
  eg_buffer_finish (&self->json);
  eg_buffer_finish (&self->delta);
  free_rules (self->rules);
  free (self);
}

/* Versions. */

enum eg_status
eg_ruleset_apply (struct eg_ruleset *self, uint64_t version, struct eg_str json)
{
  struct eg_rule_document document;
  struct eg_rules *before = self->rules;
  struct eg_rules *after;
  struct eg_error error;

  if (version <= self->version)
    return EG_CONFLICT;
  eg_rule_document_init (&document);
  if (eg_rule_document_decode (&document, json, &error) != EG_OK)
    {
      eg_log (EG_LOG_ERROR, "ruleset",
              "event=bad-rules version=%" PRIu64 " cause=\"%s\"", version,
              error.message);
      eg_rule_document_finish (&document);
      return EG_INVALID;
    }
  /* Invalid lines are skipped: rules accepted by a newer version of this
     program must not prevent the others from taking effect. */
  after = calloc (1, sizeof *after);
  EG_INVARIANT (after != NULL);
  if (eg_rules_init (after, eg_buffer_view (&document.text)) != EG_OK)
    eg_log (EG_LOG_ERROR, "ruleset",
            "event=rules-left-out version=%" PRIu64 " line=%u cause=\"%s\"",
            version, after->errors[0].line, after->errors[0].message);
  eg_buffer_clear (&self->delta);
  self->delta_base = self->version;
  if (!eg_rule_delta_encode (&self->document, &document, &self->delta))
    eg_buffer_clear (&self->delta);
  eg_rule_document_finish (&self->document);
  self->document = document;
  eg_buffer_clear (&self->json);
  eg_buffer_append (&self->json, json);
  self->version = version;
  self->rules = after;
  self->callbacks.rules_changed (self->callbacks.context, after, version);
  free_rules (before);
  eg_log (EG_LOG_NOTICE, "ruleset",
          "event=rules-in-force version=%" PRIu64 " rules=%zu", version,
          after->count);
  return EG_OK;
}

enum eg_status
eg_ruleset_apply_delta (struct eg_ruleset *self,
                        uint64_t base,
                        uint64_t version,
                        struct eg_str delta)
{
  struct eg_buffer json = {0};
  enum eg_status status = EG_CONFLICT;

  if (base == self->version && version > self->version)
    status = eg_rule_delta_apply (&self->document, delta, &json);
  if (status == EG_OK)
    status = eg_ruleset_apply (self, version, eg_buffer_view (&json));
  eg_buffer_finish (&json);
  return status;
}

struct eg_str
eg_ruleset_delta (const struct eg_ruleset *self, uint64_t base)
{
  if (base == 0 || base != self->delta_base)
    return (struct eg_str){0};
  return eg_buffer_view (&self->delta);
}

/* Watching the store. */

void
eg_ruleset_set_watching (struct eg_ruleset *self, bool watching)
{
  self->watching = watching;
}

static void
begin_watch (struct eg_ruleset *self, int64_t now_us)
{
  struct eg_platform_command *command;

  if (!self->watching || self->watch_in_progress
      || now_us < self->next_watch_us)
    return;
  command = eg_platform_command_new (EG_PLATFORM_WATCH, TAG_WATCH);
  eg_str_copy (EG_STR (EG_RULES_OBJECT_KEY), command->key, sizeof command->key);
  command->version = self->watch_version;
  command->timeout_us = WATCH_WAIT_US;
  self->watch_in_progress = eg_platform_worker_push (self->platform, command);
  if (!self->watch_in_progress)
    eg_platform_command_free (command);
}

static void
apply_change (struct eg_ruleset *self, json_t *change)
{
  const char *key = json_string_value (json_object_get (change, "key"));
  json_t *value = json_object_get (change, "value");
  json_int_t version = json_integer_value (json_object_get (change, "version"));
  char *text;

  if (!key || strcmp (key, EG_RULES_OBJECT_KEY) != 0 || json_is_null (value))
    return;
  text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  EG_INVARIANT (text != NULL);
  eg_ruleset_apply (self, (uint64_t) version, eg_str_from (text));
  free (text);
}

static void
finish_watch (struct eg_ruleset *self,
              const struct eg_platform_reply *reply,
              int64_t now_us)
{
  json_t *object = NULL;
  json_t *changes;
  json_t *change;
  size_t index;

  self->watch_in_progress = false;
  self->next_watch_us = now_us + WATCH_RETRY_US;
  if (reply->status != EG_OK)
    return;
  object = eg_json_parse (eg_buffer_view (&reply->value), NULL);
  changes = json_object_get (object, "changes");
  json_array_foreach (changes, index, change) apply_change (self, change);
  if (json_is_integer (json_object_get (object, "version")))
    {
      self->watch_version =
          (uint64_t) json_integer_value (json_object_get (object, "version"));
      self->next_watch_us = now_us;
    }
  json_decref (object);
}

/* Edits. */

static void
send_to_store (struct eg_ruleset *self,
               struct edit_state *state,
               enum eg_rule_edit_action action)
{
  bool write = action == EG_RULE_EDIT_WRITE;
  enum eg_platform_call call = EG_PLATFORM_GET;
  struct eg_platform_command *command;

  if (write)
    call =
        state->edit.base_version > 0 ? EG_PLATFORM_UPDATE : EG_PLATFORM_CREATE;
  command = eg_platform_command_new (call, state->tag);
  eg_str_copy (EG_STR (EG_RULES_OBJECT_KEY), command->key, sizeof command->key);
  command->version = state->edit.base_version;
  command->timeout_us = STORE_TIMEOUT_US;
  if (write)
    eg_rule_document_encode (&state->edit.document, &command->value);
  /* If the ring is full, the edit ends at its own deadline. */
  if (!eg_platform_worker_push (self->platform, command))
    eg_platform_command_free (command);
}

static void
finish_edit (struct eg_ruleset *self,
             struct edit_state *state,
             enum eg_rule_edit_action action)
{
  const struct eg_ruleset_result result = {.action = action,
                                           .version = state->edit.version};
  struct eg_buffer json = {0};

  if (action == EG_RULE_EDIT_ACCEPTED)
    {
      eg_rule_document_encode (&state->edit.document, &json);
      eg_ruleset_apply (self, state->edit.version, eg_buffer_view (&json));
      eg_buffer_finish (&json);
    }
  state->done (state->context, &result);
  eg_map_remove (&self->edits, state->tag);
  eg_rule_edit_finish (&state->edit);
  free (state);
}

static void
update (struct eg_ruleset *self,
        struct edit_state *state,
        enum eg_rule_edit_event event,
        uint64_t version,
        const struct eg_rule_document *found,
        int64_t now_us)
{
  enum eg_rule_edit_action action = eg_rule_edit_update (
      &state->edit, event, version, found, now_us, &self->random);

  if (action == EG_RULE_EDIT_READ || action == EG_RULE_EDIT_WRITE)
    send_to_store (self, state, action);
  else if (action != EG_RULE_EDIT_WAIT)
    finish_edit (self, state, action);
}

void
eg_ruleset_begin_edit (struct eg_ruleset *self,
                       const struct eg_ruleset_edit *edit,
                       int64_t now_us)
{
  const struct eg_rule_edit_request request = {
      .id = edit->id ? edit->id : eg_random_system_seed (),
      .who = eg_str_from (edit->who),
      .text = edit->text,
      .base_version = edit->base_version,
      .wall_ms = eg_clock_wall_us () / EG_US_PER_MS,
      .deadline_us = now_us + edit->timeout_us,
  };
  struct eg_ruleset_result accepted = {.action = EG_RULE_EDIT_ACCEPTED};
  struct eg_ruleset_result conflict = {.action = EG_RULE_EDIT_STALE,
                                       .version = self->version};
  struct edit_state *state;

  /* An operator who received no reply repeats the same edit. */
  if (edit->id && eg_rule_document_find (&self->document, edit->id))
    {
      accepted.version = self->version;
      edit->done (edit->context, &accepted);
      return;
    }
  /* An edit extends the history of the version in force. */
  if (edit->base_version != self->version)
    {
      edit->done (edit->context, &conflict);
      return;
    }
  state = calloc (1, sizeof *state);
  EG_INVARIANT (state != NULL);
  state->tag = self->next_tag++;
  state->done = edit->done;
  state->context = edit->context;
  eg_rule_edit_init (&state->edit, &request, &self->document);
  eg_map_put (&self->edits, state->tag, state);
  update (self, state, EG_RULE_EDIT_START, 0, NULL, now_us);
}

static enum eg_rule_edit_event
reply_event (const struct eg_platform_reply *reply)
{
  bool read = reply->call == EG_PLATFORM_GET;

  switch (reply->status)
    {
    case EG_OK:
      return read ? EG_RULE_EDIT_FOUND : EG_RULE_EDIT_WRITTEN;
    case EG_NOT_FOUND:
      return read ? EG_RULE_EDIT_MISSING : EG_RULE_EDIT_CONFLICT;
    case EG_CONFLICT:
      return EG_RULE_EDIT_CONFLICT;
    case EG_UNAVAILABLE:
      return EG_RULE_EDIT_UNAVAILABLE;
    default:
      return EG_RULE_EDIT_NO_REPLY;
    }
}

static void
finish_operation (struct eg_ruleset *self,
                  struct edit_state *state,
                  const struct eg_platform_reply *reply,
                  int64_t now_us)
{
  enum eg_rule_edit_event event = reply_event (reply);
  struct eg_rule_document found;
  struct eg_error error;

  eg_rule_document_init (&found);
  if (event == EG_RULE_EDIT_FOUND
      && eg_rule_document_decode (&found, eg_buffer_view (&reply->value),
                                  &error)
             != EG_OK)
    event = EG_RULE_EDIT_UNAVAILABLE;
  if (event == EG_RULE_EDIT_FOUND)
    eg_ruleset_apply (self, reply->version, eg_buffer_view (&reply->value));
  update (self, state, event, reply->version, &found, now_us);
  eg_rule_document_finish (&found);
}

bool
eg_ruleset_reply (struct eg_ruleset *self,
                  const struct eg_platform_reply *reply,
                  int64_t now_us)
{
  struct edit_state *state = eg_map_get (&self->edits, reply->tag);

  if (!(reply->tag & TAG_BIT))
    return false;
  if (reply->tag == TAG_WATCH)
    finish_watch (self, reply, now_us);
  else if (state)
    finish_operation (self, state, reply, now_us);
  return true;
}

static struct edit_state *
find_due_edit (const struct eg_ruleset *self, int64_t now_us)
{
  struct edit_state *state;
  size_t cursor = 0;

  while ((state = eg_map_next (&self->edits, &cursor)))
    if (eg_rule_edit_wake_us (&state->edit) <= now_us)
      return state;
  return NULL;
}

void
eg_ruleset_tick (struct eg_ruleset *self, int64_t now_us)
{
  size_t left = self->edits.count;
  struct edit_state *state;

  while (left-- > 0 && (state = find_due_edit (self, now_us)))
    update (self, state, EG_RULE_EDIT_TIME, 0, NULL, now_us);
  begin_watch (self, now_us);
}

uint64_t
eg_ruleset_version (const struct eg_ruleset *self)
{
  return self->version;
}

const struct eg_rule_document *
eg_ruleset_document (const struct eg_ruleset *self)
{
  return &self->document;
}

struct eg_str
eg_ruleset_json (const struct eg_ruleset *self)
{
  return eg_buffer_view (&self->json);
}
