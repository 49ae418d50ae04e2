#include "ctl/ctl.h"

#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

#include "base/settings.h"
#include "base/str.h"
#include "ctl/print.h"
#include "ctl/rules_commands.h"
#include "ctl/status_commands.h"

#define ERRORS_SHOWN 8

struct command
{
  const char *group; /* First word; NULL for commands of a single word. */
  const char *name;
  const char *arguments;
  int arguments_min;
  int arguments_max;
  bool is_local; /* Whether it runs without a node. */
  int (*run) (const struct eg_ctl *ctl);
  const char *help;
};

static const struct command commands[] = {
    {"rules", "check", "FILE", 1, 1, true, eg_ctl_rules_check,
     "list all faults in a file"},
    {"rules", "show", "", 0, 0, false, eg_ctl_rules_show,
     "show the rules in force"},
    {"rules", "edit", "[LINE]", 0, 1, false, eg_ctl_rules_edit,
     "change one line: --add, --remove, --replace"},
    {"rules", "apply", "FILE", 1, 1, false, eg_ctl_rules_apply,
     "replace the rules by a file that is based on --base"},
    {"rules", "history", "", 0, 0, false, eg_ctl_rules_history,
     "list edits, the last one first"},
    {"rules", "blame", "", 0, 0, false, eg_ctl_rules_blame,
     "show who added each line"},
    {"rules", "undo", "ID", 1, 1, false, eg_ctl_rules_undo,
     "revert an edit by a new edit"},
    {"rules", "reference", "", 0, 0, true, eg_ctl_rules_reference,
     "print all verbs and their keys"},
    {NULL, "status", "", 0, 0, false, eg_ctl_status,
     "show the status of the node"},
    {NULL, "nodes", "", 0, 0, false, eg_ctl_nodes,
     "show the version on each node"},
    {NULL, "servers", "", 0, 0, false, eg_ctl_servers,
     "show the backend servers"},
    {NULL, "drain", "SERVER [WHO-ASKED]", 1, 2, false, eg_ctl_drain,
     "send a server no new requests; --off reverts"},
    {NULL, "watch", "", 0, 0, false, eg_ctl_watch,
     "print the status whenever it changes"},
};

/* The options; used as an array of pointers, as argtable expects its table. */
struct options
{
  struct arg_str *node;
  struct arg_file *token_file;
  struct arg_str *who;
  struct arg_str *add;
  struct arg_str *remove;
  struct arg_str *replace;
  struct arg_int *base;
  struct arg_int *rounds;
  struct arg_lit *off;
  struct arg_lit *json;
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_str *words;
  struct arg_end *end;
};

#define OPTION_COUNT (sizeof (struct options) / sizeof (void *))

static void
init_options (struct options *options)
{
  *options = (struct options){
      .node =
          arg_str0 (NULL, "node", "ADDRESS", "operators' IP:PORT of a node"),
      .token_file =
          arg_file0 (NULL, "token-file", "FILE", "file with the token"),
      .who = arg_str0 (NULL, "who", "NAME", "your name, for the history"),
      .add = arg_str0 (NULL, "add", "LINE", "line to add"),
      .remove =
          arg_str0 (NULL, "remove", "LINE", "line to remove, or its number"),
      .replace = arg_str0 (NULL, "replace", "NUMBER",
                           "number of the line to replace by LINE"),
      .base = arg_int0 (NULL, "base", "VERSION",
                        "version that the edit is based on"),
      .rounds = arg_int0 (NULL, "rounds", "N", "stop 'watch' after N polls"),
      .off = arg_lit0 (NULL, "off", "end a drain"),
      .json = arg_lit0 (NULL, "json", "print JSON"),
      .help = arg_lit0 ("h", "help", "show this help"),
      .version = arg_lit0 ("V", "version", "show the version"),
      .words = arg_strn (NULL, NULL, "COMMAND", 0, EG_CTL_WORDS_MAX, NULL),
      .end = arg_end (ERRORS_SHOWN),
  };
}

static void
print_help (FILE *out)
{
  fprintf (out, "eelgrassctl [OPTION]... COMMAND\n\nCommands:\n");
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    {
      const struct command *command = &commands[i];

      eg_ctl_printf (out, " ", "%s%s%s%s%s",
                     command->group ? command->group : "",
                     command->group ? " " : "", command->name,
                     *command->arguments ? " " : "", command->arguments);
      eg_ctl_printf (out, "    ", "%s", command->help);
    }
}

static void
print_options (FILE *out, struct options *options)
{
  fprintf (out, "\nOptions:\n");
  for (size_t i = 0; i < OPTION_COUNT; i++)
    {
      const struct arg_hdr *row = ((struct arg_hdr **) options)[i];

      if (row->longopts)
        {
          eg_ctl_printf (out, " ", "--%s%s%s", row->longopts,
                         row->datatype ? " " : "",
                         row->datatype ? row->datatype : "");
          eg_ctl_printf (out, "    ", "%s", row->glossary);
        }
    }
  eg_ctl_printf (out, "",
                 "\nEnvironment: EELGRASS_NODE, EELGRASS_TOKEN, EELGRASS_WHO");
  eg_ctl_printf (out, "",
                 "Exit status: 0 done, 1 refused, 2 usage, 3 unreachable, "
                 "4 another edit came first, 5 outcome unknown");
}

static int
usage (const struct eg_ctl *ctl, const char *message)
{
  eg_ctl_print (ctl->err, "", eg_str_from (message));
  eg_ctl_print (ctl->err, "", EG_STR ("See eelgrassctl --help."));
  return EG_CTL_USAGE;
}

/* Copies the value of the option, or of the environment variable if the option
   is not given. */
static bool
copy_option (const struct arg_str *option,
             const char *variable,
             char *target,
             size_t capacity)
{
  const char *text = option->count > 0 ? option->sval[0] : getenv (variable);

  return eg_str_copy (eg_str_from (text), target, capacity);
}

static int
read_token (struct eg_ctl *ctl, const struct arg_file *option)
{
  char line[EG_CTL_TOKEN_BYTES + 2] = "";
  FILE *stream;

  if (option->count == 0)
    return eg_str_copy (eg_str_from (getenv ("EELGRASS_TOKEN")), ctl->token,
                        sizeof ctl->token)
               ? EG_CTL_OK
               : usage (ctl, "EELGRASS_TOKEN is too long.");
  stream = fopen (option->filename[0], "r");
  if (!stream)
    return usage (ctl, "--token-file: cannot read the file.");
  if (!fgets (line, sizeof line, stream))
    *line = '\0';
  fclose (stream);
  return eg_str_copy (eg_str_trim (eg_str_from (line)), ctl->token,
                      sizeof ctl->token)
             ? EG_CTL_OK
             : usage (ctl, "--token-file: the token is too long.");
}

static const char *
option_value (const struct arg_str *option)
{
  return option->count > 0 ? option->sval[0] : NULL;
}

static int
read_options (struct eg_ctl *ctl, const struct options *options)
{
  ctl->add = option_value (options->add);
  ctl->remove = option_value (options->remove);
  ctl->replace = option_value (options->replace);
  ctl->base = options->base->count > 0 ? options->base->ival[0] : -1;
  ctl->rounds = options->rounds->count > 0 ? options->rounds->ival[0] : 0;
  ctl->off = options->off->count > 0;
  ctl->json = options->json->count > 0;
  ctl->word_count = options->words->count;
  for (int i = 0; i < ctl->word_count; i++)
    ctl->words[i] = options->words->sval[i];
  if (options->base->count > 0 && ctl->base < 0)
    return usage (ctl, "--base: expected a version, 0 or more.");
  if (!copy_option (options->node, "EELGRASS_NODE", ctl->node,
                    sizeof ctl->node))
    return usage (ctl, "--node: expected IP:PORT.");
  if (!copy_option (options->who, "EELGRASS_WHO", ctl->who, sizeof ctl->who))
    return usage (ctl, "--who: expected a name of at most 63 bytes.");
  return read_token (ctl, options->token_file);
}

static const struct command *
find_command (const struct eg_ctl *ctl)
{
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    {
      const struct command *command = &commands[i];
      int words = command->group ? 2 : 1;

      if (ctl->word_count < words
          || (command->group && strcmp (ctl->words[0], command->group) != 0)
          || strcmp (ctl->words[words - 1], command->name) != 0)
        continue;
      if (ctl->word_count - words >= command->arguments_min
          && ctl->word_count - words <= command->arguments_max)
        return command;
    }
  return NULL;
}

static int
run_command (const struct eg_ctl *ctl)
{
  const struct command *command = find_command (ctl);

  if (!command)
    return usage (
        ctl,
        "There is no such command, or it has the wrong number of arguments.");
  if (!command->is_local && !eg_settings_is_address (ctl->node))
    return usage (ctl, "Give the node: --node IP:PORT or EELGRASS_NODE.");
  if (!command->is_local && !*ctl->token)
    return usage (ctl, "Give the operators' token: --token-file FILE or "
                       "EELGRASS_TOKEN.");
  return command->run (ctl);
}

int
eg_ctl_run (int argc, char **argv, FILE *out, FILE *err, bool interactive)
{
  struct eg_ctl ctl = {.out = out, .err = err, .interactive = interactive};
  struct options options;
  int errors;
  int result;

  init_options (&options);
  EG_INVARIANT (arg_nullcheck ((void **) &options) == 0);
  errors = arg_parse (argc, argv, (void **) &options);
  if (options.help->count > 0)
    {
      print_help (out);
      print_options (out, &options);
      result = EG_CTL_OK;
    }
  else if (options.version->count > 0)
    {
      fprintf (out, "eelgrassctl %s\n", EG_VERSION);
      result = EG_CTL_OK;
    }
  else if (errors > 0)
    {
      arg_print_errors (err, options.end, "eelgrassctl");
      result = usage (&ctl, "Invalid options.");
    }
  else
    {
      result = read_options (&ctl, &options);
      if (result == EG_CTL_OK)
        result = run_command (&ctl);
    }
  arg_freetable ((void **) &options, OPTION_COUNT);
  return result;
}
