/* fulmartackctl.c -- the command line tool for operators.  */

#include "ctl/ctl.h"

#include "fulmartack.h"

#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_WAIT_MS 9000

const char *argp_program_version = "fulmartackctl " FTK_VERSION;

static const struct argp_option options[] = {
  { "log", 'l', "IP:PORT", 0, "Address of the platform's log", 0 },
  { "entry", 'e', "IP:PORT", 0, "Address of an entry; may be repeated", 0 },
  { "settings", 's', "FILE", 0,
    "File with log and entries (default: $FULMARTACKCTL)", 0 },
  { "follow", 'f', NULL, 0, "timeline: keep printing new notes", 0 },
  { "json", 'j', NULL, 0, "Print JSON", 0 },
  { "wait-ms", 'w', "MS", 0, "Timeout of config apply (default: 9000)", 0 },
  { 0 },
};

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct ctl *c = state->input;

  switch (key)
    {
    case 'l':
      if (!text_copy (c->log_address, ADDRESS_BYTES, arg))
        argp_error (state, "the address of --log is too long: %s", arg);
      return 0;
    case 's':
      if (!ctl_read_settings (c, arg))
        exit (EXIT_BAD_DOCUMENT);
      return 0;
    case 'f':
      c->follow = true;
      return 0;
    case 'e':
      if (c->entry_count == ENTRY_LIMIT_COUNT)
        argp_error (state, "more than %d --entry options", ENTRY_LIMIT_COUNT);
      if (!text_copy (c->entries[c->entry_count++], ADDRESS_BYTES, arg))
        argp_error (state, "the address of --entry is too long: %s", arg);
      return 0;
    case 'j':
      c->json = true;
      return 0;
    case 'w':
      c->wait_ms = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case ARGP_KEY_ARGS:
      c->arguments = state->argv + state->next;
      c->argument_count = state->argc - state->next;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct
{
  const char *name;
  int (*run) (struct ctl *c);
} commands[] = {
  { "config", ctl_config }, { "key", ctl_key },
  { "status", ctl_status }, { "timeline", ctl_timeline },
  { "submit", ctl_submit }, { "replay", ctl_replay },
  { "wave", ctl_wave },     { "vm", ctl_vm },
  { "pool", ctl_pool },     { "zone", ctl_zone },
};

int
main (int argc, char **argv)
{
  static const struct argp argp = {
    options,
    parse,
    "COMMAND [WORD...]",
    "Operates fulmartack.\v"
    "Commands:\n"
    "  config check|diff|apply FILE, config show\n"
    "  key grant TEAM FILE, key withdraw FILE, key list\n"
    "  status, timeline, submit QUEUE FILE, replay FILE\n"
    "  wave plan|start NAME POOL|VM... [parallel=N] [deadline_ms=MS]\n"
    "    [step_ms=MS]\n"
    "  wave pause|resume|abort NAME, wave status\n"
    "  vm drain|return VM, vm move VM FROM TO, pool status [POOL]\n"
    "  zone evacuate|return NAME\n"
    "Without --entry, the members listed in the log are asked.\n"
    "Exit codes: 0 success, 1 rejected or different, 2 invalid document,\n"
    "3 no answer, 4 not yet confirmed by every member, 64 usage.",
    NULL,
    NULL,
    NULL,
  };
  struct ctl c
      = { .log_address = "127.0.0.1:7001", .wait_ms = DEFAULT_WAIT_MS };
  const char *settings = getenv ("FULMARTACKCTL");
  size_t i;

  if (sodium_init () < 0)
    return EXIT_UNREACHABLE;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (settings != NULL && !ctl_read_settings (&c, settings))
    return EXIT_BAD_DOCUMENT;
  argp_parse (&argp, argc, argv, 0, NULL, &c);
  for (i = 0; i < sizeof commands / sizeof commands[0]; i++)
    if (strcmp (c.arguments[0], commands[i].name) == 0)
      return commands[i].run (&c);
  fprintf (stderr, "fulmartackctl: unknown command %s; see --help\n",
           c.arguments[0]);
  return EXIT_USAGE_ERROR;
}
