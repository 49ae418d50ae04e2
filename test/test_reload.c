/* Tests of settings that change while the daemon runs. */
#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "entry/client_limits.h"
#include "entry/reload.h"
#include "test/soak/ports.h"

static const char base_text[] = "[node]\nname = \"a\"\nfailure_domain = \"d\"\n"
                                "[listen]\ncallers = \"10.0.0.1:1\"\n"
                                "readiness = \"10.0.0.1:2\"\n"
                                "peers = \"10.0.0.1:3\"\n"
                                "[store]\naddress = \"10.0.0.2:1\"\n"
                                "[limits]\nmemory_mb = 260\n"
                                "descriptors = 4100\n"
                                "[stop]\ngrace_ms = 8000\n"
                                "[keys]\nrevocation_ms = 5000\n"
                                "[retry]\nratio = 0.2\nwindow_ms = 10000\n";

/** A settings file, and the settings read from it. */
struct file
{
  char path[64];
  struct eg_entry_settings settings;
  struct eg_reload reload;
};

static void
write_file (struct file *file, const char *extra)
{
  FILE *stream = fopen (file->path, "w");

  assert_non_null (stream);
  fprintf (stream, "%s%s", base_text, extra);
  assert_int_equal (fclose (stream), 0);
}

static int
set_up (void **state)
{
  struct file *file = calloc (1, sizeof *file);
  struct eg_error error;
  int descriptor;

  strcpy (file->path, "/tmp/eg_reload_XXXXXX");
  descriptor = mkstemp (file->path);
  assert_true (descriptor >= 0);
  close (descriptor);
  write_file (file, "extra = 200\n");
  assert_int_equal (eg_settings_load (&eg_entry_setting_table, file->path,
                                      &file->settings, &error),
                    EG_OK);
  eg_reload_init (&file->reload, &file->settings, file->path);
  *state = file;
  return 0;
}

static int
tear_down (void **state)
{
  struct file *file = *state;

  unlink (file->path);
  free (file);
  return 0;
}

static void
test_changed_setting_takes_effect (void **state)
{
  struct file *file = *state;

  write_file (file, "extra = 50\n[engines]\nstall_ms = 900\n");
  eg_reload_now (&file->reload);
  assert_int_equal (file->settings.retry_extra, 50);
  assert_int_equal (file->settings.stall_ms, 900);
  assert_int_equal (file->settings.stop_grace_ms, 8000);
}

static void
test_invalid_file_is_ignored (void **state)
{
  struct file *file = *state;

  write_file (file, "extra = \"many\"\n");
  eg_reload_now (&file->reload);
  assert_int_equal (file->settings.retry_extra, 200);
  write_file (file, "extra = 7\n[log]\nlevel = \"loud\"\n");
  eg_reload_now (&file->reload);
  assert_int_equal (file->settings.retry_extra, 200);
  write_file (file, "extra = 7\n[shedding]\nmode = \"maybe\"\n");
  eg_reload_now (&file->reload);
  assert_int_equal (file->settings.retry_extra, 200);
  write_file (file, "extra = 7\n[shedding]\nqueue_requests = 0\n");
  eg_reload_now (&file->reload);
  assert_int_equal (file->settings.retry_extra, 200);
}

/* Guards against limits of clients beyond those of the VM, and against messages
 * that do not say where and why. */
static void
test_limits_of_clients_are_checked (void **state)
{
  struct file *file = *state;
  struct eg_entry_settings settings;
  struct eg_error error;

  write_file (file, "extra = 7\n");
  assert_int_equal (eg_entry_settings_load (file->path, &settings, &error),
                    EG_OK);
  assert_int_equal (eg_client_budget (&settings),
                    (size_t) settings.memory_mb << 19);
  assert_int_equal (eg_client_connections_max (&settings),
                    settings.descriptors * 45 / 100);
  write_file (file, "extra = 7\n[clients]\nmemory_mb = 1000000\n");
  assert_int_equal (eg_entry_settings_load (file->path, &settings, &error),
                    EG_INVALID);
  assert_non_null (strstr (error.message, "clients.memory_mb"));
  assert_non_null (strstr (error.message, "1000000"));
  assert_non_null (strstr (error.message, "limits.memory_mb"));
  assert_null (strstr (error.message, ":0: "));
  write_file (file, "extra = 7\n[clients]\nconnections = 9999999\n");
  assert_int_equal (eg_entry_settings_load (file->path, &settings, &error),
                    EG_INVALID);
  assert_non_null (strstr (error.message, "clients.connections"));
  write_file (file, "extra = 7\n[clients]\nmin_send_bytes_per_s = 99999\n");
  assert_int_equal (eg_entry_settings_load (file->path, &settings, &error),
                    EG_INVALID);
  assert_non_null (strstr (error.message, "clients.min_send_bytes_per_s"));
}

/* Guards against a mode that is accepted but means none of the three. */
static void
test_unknown_mode_of_shedding_is_named (void **state)
{
  struct file *file = *state;
  struct eg_entry_settings settings;
  struct eg_error error;

  write_file (file, "extra = 7\n[shedding]\nmode = \"maybe\"\n");
  assert_int_equal (eg_entry_settings_load (file->path, &settings, &error),
                    EG_INVALID);
  assert_non_null (strstr (error.message, "shedding.mode"));
  assert_non_null (strstr (error.message, "maybe"));
  write_file (file, "extra = 7\n[shedding]\nmode = \"on\"\n");
  assert_int_equal (eg_entry_settings_load (file->path, &settings, &error),
                    EG_OK);
  assert_string_equal (settings.shedding_mode, "on");
  assert_int_equal (settings.shedding_requests, 32);
}

static void
test_addresses_need_a_restart (void **state)
{
  struct file *file = *state;
  struct eg_entry_settings read = file->settings;
  struct eg_reload_outcome outcome;

  strcpy (read.listen_callers, "10.0.0.9:1");
  read.retry_extra = 3;
  outcome = eg_reload_apply (&file->settings, &read);
  assert_int_equal (outcome.changed, 1);
  assert_int_equal (outcome.kept, 1);
  assert_string_equal (file->settings.listen_callers, "10.0.0.1:1");
  assert_int_equal (file->settings.retry_extra, 3);
}

static void
test_modified_file_is_reloaded_without_signal (void **state)
{
  struct file *file = *state;

  eg_reload_check (&file->reload, 1);
  assert_int_equal (file->settings.retry_extra, 200);
  write_file (file, "extra = 12345\n");
  eg_reload_check (&file->reload, 2);
  assert_int_equal (file->settings.retry_extra, 200);
  eg_reload_check (&file->reload, 10 * EG_US_PER_S);
  assert_int_equal (file->settings.retry_extra, 12345);
}

static pid_t
start_daemon (const char *settings_path)
{
  pid_t daemon = fork ();

  assert_true (daemon >= 0);
  if (daemon == 0)
    {
      execl (EG_DAEMON, EG_DAEMON, "--settings", settings_path, NULL);
      _exit (127);
    }
  return daemon;
}

/* The daemon is signalled while it waits for its settings, which a pipe holds
 * back. */
static void
test_signals_while_the_daemon_starts_are_handled_when_it_runs (void **state)
{
  static const int numbers[] = {SIGHUP, SIGTERM};
  struct file *file = *state;
  char text[1024];
  pid_t daemon;
  int status;
  int pipe;

  snprintf (text, sizeof text,
            "[node]\nname = \"a\"\nfailure_domain = \"d\"\n"
            "[listen]\ncallers = \"127.0.0.1:%d\"\n"
            "readiness = \"127.0.0.1:%d\"\npeers = \"127.0.0.1:%d\"\n"
            "[store]\naddress = \"127.0.0.1:%d\"\n%sextra = 200\n",
            soak_find_free_port (), soak_find_free_port (),
            soak_find_free_port (), soak_find_free_port (),
            strstr (base_text, "[limits]"));
  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    {
      unlink (file->path);
      assert_int_equal (mkfifo (file->path, 0600), 0);
      daemon = start_daemon (file->path);
      pipe = open (file->path, O_WRONLY);
      assert_true (pipe >= 0);
      unlink (file->path);
      assert_int_equal (kill (daemon, numbers[i]), 0);
      assert_int_equal (write (pipe, text, strlen (text)),
                        (ssize_t) strlen (text));
      close (pipe);
      if (numbers[i] == SIGHUP)
        assert_int_equal (kill (daemon, SIGTERM), 0);
      assert_int_equal (waitpid (daemon, &status, 0), daemon);
      assert_true (WIFEXITED (status));
      assert_int_equal (WEXITSTATUS (status), 0);
    }
  soak_release_ports ();
}

/* Values of the template's parameters; others are names. */
static const char *const parameters[][2] = {
    {"bootstrap", "false"},           {"listen.front", "10.0.0.1:1"},
    {"listen.ready", "10.0.0.1:2"},   {"ip", "10.0.0.1"},
    {"internalPorts.0", "3"},         {"platform.address", "10.0.0.2:1"},
    {"limits.memoryMb", "160.5"},     {"limits.fileDescriptors", "4100"},
    {"limits.linkMbps", "20"},        {"limits.cpuShare", "0.12"},
    {"bounds.graceS", "7.5"},         {"bounds.revokeStrict", "true"},
    {"bounds.revokeMs", "4999.5"},    {"bounds.retryBudgetRatio", "0.2"},
    {"bounds.budgetWindowS", "2.25"}, {"bounds.budgetExtraRetries", "200.75"},
    {"bounds.stall_ms", "1500.25"},   {"bounds.fencingRequired", "true"},
};

static const char *
find_parameter (const char *name, size_t len)
{
  for (size_t i = 0; i < sizeof parameters / sizeof parameters[0]; i++)
    if (strlen (parameters[i][0]) == len
        && strncmp (parameters[i][0], name, len) == 0)
      return parameters[i][1];
  return "name";
}

/* Writes the settings as the platform does from the template. */
static void
render_template (const char *path)
{
  FILE *template = fopen (EG_SOURCE_DIR "/deploy/settings.toml.in", "r");
  FILE *rendered = fopen (path, "w");
  char text[4096];
  const char *at = text;
  const char *mark;
  size_t len;

  assert_non_null (template);
  assert_non_null (rendered);
  len = fread (text, 1, sizeof text - 1, template);
  text[len] = '\0';
  for (; (mark = strstr (at, "{{")); at = strstr (mark, "}}") + 2)
    {
      fwrite (at, 1, (size_t) (mark - at), rendered);
      fputs (
          find_parameter (mark + 2, (size_t) (strstr (mark, "}}") - mark - 2)),
          rendered);
    }
  fputs (at, rendered);
  assert_int_equal (fclose (rendered), 0);
  fclose (template);
}

/* With graceS = 7.5 the daemon did not start. */
static void
test_template_takes_bounds_with_fractions (void **state)
{
  struct file *file = *state;
  struct eg_entry_settings settings;
  struct eg_error error;

  render_template (file->path);
  if (eg_settings_load (&eg_entry_setting_table, file->path, &settings, &error)
      != EG_OK)
    fail_msg ("%s", error.message);
  assert_int_equal (settings.stop_grace_ms, 7500);
  assert_int_equal (settings.retry_window_ms, 2250);
  assert_int_equal (settings.revocation_ms, 4999);
  assert_int_equal (settings.retry_extra, 200);
  assert_int_equal (settings.stall_ms, 1500);
  assert_int_equal (settings.memory_mb, 160);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown (test_changed_setting_takes_effect,
                                       set_up, tear_down),
      cmocka_unit_test_setup_teardown (test_invalid_file_is_ignored, set_up,
                                       tear_down),
      cmocka_unit_test_setup_teardown (test_limits_of_clients_are_checked,
                                       set_up, tear_down),
      cmocka_unit_test_setup_teardown (test_unknown_mode_of_shedding_is_named,
                                       set_up, tear_down),
      cmocka_unit_test_setup_teardown (test_addresses_need_a_restart, set_up,
                                       tear_down),
      cmocka_unit_test_setup_teardown (
          test_modified_file_is_reloaded_without_signal, set_up, tear_down),
      cmocka_unit_test_setup_teardown (
          test_signals_while_the_daemon_starts_are_handled_when_it_runs, set_up,
          tear_down),
      cmocka_unit_test_setup_teardown (
          test_template_takes_bounds_with_fractions, set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
