/* embed.c -- runs an entry inside another program.

   Without arguments it prints the library's version.  With a settings file it
   runs an entry until SIGINT or SIGTERM, then shuts it down gracefully: the
   requests that have begun get their answers.  */

#include <fulmartack.h>

#include <pthread.h>
#include <signal.h>

static void *
stop_on_signal (void *state)
{
  sigset_t set;
  int number;

  sigemptyset (&set);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGTERM);
  sigwait (&set, &number);
  ftk_entry_stop (state);
  return NULL;
}

static ftk_status
run (const char *file)
{
  ftk_entry *e;
  ftk_status s = ftk_entry_open (file, stderr, &e);
  pthread_t t;

  if (s == FTK_OK && pthread_create (&t, NULL, stop_on_signal, e) == 0)
    {
      s = ftk_entry_run (e);
      pthread_cancel (t);
      pthread_join (t, NULL);
    }
  else if (e != NULL)
    fprintf (stderr, "%s: %s\n", ftk_status_text (s), ftk_entry_message (e));
  ftk_entry_close (e);
  return s;
}

int
main (int argc, char **argv)
{
  sigset_t set;

  if (argc < 2)
    {
      printf ("fulmartack %s\n", ftk_version ());
      return 0;
    }
  /* Every thread inherits the mask, so the signals reach sigwait only.  */
  sigemptyset (&set);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGTERM);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  return run (argv[1]);
}
