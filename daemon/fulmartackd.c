/* fulmartackd.c -- the daemon that runs one entry.  */

#include "fulmartack.h"

#include "platform/config.h"

#include <argp.h>
#include <poll.h>
#include <pthread.h>
#include <semaphore.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

const char *argp_program_version = "fulmartackd " FTK_VERSION;

struct arguments
{
  const char *file;  /**< Settings file.  */
  const char *trace; /**< File for the trace, or NULL.  */
  int check;         /**< Only check the settings.  */
};

static const struct argp_option options[]
    = { { "check", 'c', NULL, 0, "Check the settings and exit", 0 },
        { "record", 'r', "FILE", 0,
          "Write every event and its actions to FILE", 0 },
        { 0 } };

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct arguments *a = state->input;

  switch (key)
    {
    case 'c':
      a->check = 1;
      return 0;
    case 'r':
      a->trace = arg;
      return 0;
    case ARGP_KEY_ARG:
      if (a->file != NULL)
        argp_usage (state);
      a->file = arg;
      return 0;
    case ARGP_KEY_END:
      if (a->file == NULL)
        a->file = getenv (PLATFORM_SETTINGS_VARIABLE);
      if (a->file == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/** Posted when a planned stop has been started; the entry is in use by the
    thread that handles signals until then.  */
static sem_t stop_started;

static void
fill_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
  sigaddset (set, SIGHUP);
}

/* Thread that handles signals: SIGHUP reloads the settings, SIGTERM and SIGINT
   start a planned stop.  It ends the process if that takes too long.  */
static void *
wait_signal (void *state)
{
  sigset_t set;
  int number = 0;
  uint32_t limit_ms;

  fill_signals (&set);
  while (sigwait (&set, &number) == 0 && number == SIGHUP)
    ftk_entry_reload (state, stderr);
  limit_ms = ftk_entry_stop (state);
  sem_post (&stop_started);
  poll (NULL, 0, (int)limit_ms);
  /* No message: standard error may be what blocks.  */
  _exit (FTK_STOP_OVERDUE);
}

static void
block_signals (void)
{
  sigset_t set;

  signal (SIGPIPE, SIG_IGN);
  fill_signals (&set);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse, "[SETTINGS]", "Runs one entry of fulmartack.",
          NULL,    NULL,  NULL };
  struct arguments a = { 0 };
  ftk_entry *e = NULL;
  ftk_status s;
  pthread_t t;

  argp_parse (&argp, argc, argv, 0, NULL, &a);
  if (a.check)
    return ftk_settings_check (a.file, stderr);
  block_signals ();
  sem_init (&stop_started, 0, 0);
  s = ftk_entry_open_recorded (a.file, a.trace, stderr, &e);
  if (s == FTK_OK && pthread_create (&t, NULL, wait_signal, e) == 0)
    {
      s = ftk_entry_run (e);
      sem_wait (&stop_started);
      ftk_entry_close (e);
      pthread_cancel (t);
      pthread_join (t, NULL);
      return s;
    }
  if (e != NULL)
    fprintf (stderr, "fulmartackd: %s: %s\n", ftk_status_text (s),
             ftk_entry_message (e));
  ftk_entry_close (e);
  return s;
}
