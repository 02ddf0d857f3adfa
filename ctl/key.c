/* key.c -- fulmartackctl key grant|withdraw.  */

#include "ctl/ctl.h"

#include "adapter/record_json.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

/* Reads the key itself from a file, so that it stays out of process lists;
   "-" is standard input.  */
static bool
read_key (const char *file, char *key, uint32_t size_bytes)
{
  FILE *f = strcmp (file, "-") == 0 ? stdin : fopen (file, "re");
  bool got = f != NULL && fgets (key, (int)size_bytes, f) != NULL;

  if (f != NULL && f != stdin)
    fclose (f);
  if (got)
    key[strcspn (key, "\r\n")] = '\0';
  return got && key[0] != '\0';
}

int
ctl_key (struct ctl *c)
{
  struct record r = { .kind = RECORD_KEY_GRANT };
  char key[TEXT_BYTES];
  bool grant
      = c->argument_count == 4 && strcmp (c->arguments[1], "grant") == 0;
  bool withdraw
      = c->argument_count == 3 && strcmp (c->arguments[1], "withdraw") == 0;
  json_t *j;
  bool done;

  if (!grant && !withdraw)
    {
      fprintf (stderr,
               "fulmartackctl: key grant TEAM FILE | key withdraw FILE\n");
      return EXIT_USAGE_ERROR;
    }
  if (!read_key (c->arguments[grant ? 3 : 2], key, sizeof key))
    {
      fprintf (stderr, "fulmartackctl: no key in %s\n",
               c->arguments[grant ? 3 : 2]);
      return EXIT_BAD_DOCUMENT;
    }
  if (withdraw)
    r.kind = RECORD_KEY_WITHDRAW;
  else
    text_copy (r.u.key.team, NAME_BYTES, c->arguments[2]);
  crypto_generichash (r.u.key.digest, DIGEST_BYTES, (const uint8_t *)key,
                      strlen (key), NULL, 0);
  ctl_command_id (r.id);
  j = record_to_json (&r);
  done = ctl_append (c, j);
  json_decref (j);
  return done ? EXIT_DONE : EXIT_UNREACHABLE;
}
