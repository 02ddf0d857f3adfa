/* key.c -- fulmartackctl key grant|withdraw|list.  */

#include "ctl/ctl.h"

#include "adapter/record_json.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define SHOWN_DIGEST_CHARACTERS 16

/* Reads the key from FILE ("-": standard input) and not from the command line,
   which process lists show.  */
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

static bool
read_key_digest (const char *file, uint8_t *digest)
{
  char key[TEXT_BYTES];

  if (!read_key (file, key, sizeof key))
    {
      fprintf (stderr, "fulmartackctl: cannot read a key from %s\n", file);
      return false;
    }
  crypto_generichash (digest, DIGEST_BYTES, (const uint8_t *)key, strlen (key),
                      NULL, 0);
  return true;
}

static json_t *
key_to_json (const struct granted_key *k)
{
  char hex[2 * DIGEST_BYTES + 1];

  sodium_bin2hex (hex, sizeof hex, k->digest, DIGEST_BYTES);
  return json_pack ("{s:s, s:s}", "team", k->team, "digest", hex);
}

static int
list_keys (TALLOC_CTX *mem, struct ctl *c)
{
  struct control *s = ctl_read_log (mem, c);
  json_t *list;
  json_t *key;
  size_t i;

  if (s == NULL)
    return EXIT_UNREACHABLE;
  list = json_array ();
  for (i = 0; i < s->key_count; i++)
    json_array_append_new (list, key_to_json (&s->keys[i]));
  if (c->json)
    {
      ctl_print_json (list, JSON_INDENT (2));
      return EXIT_DONE;
    }
  json_array_foreach (list, i, key)
  {
    printf ("%.*s %s\n", SHOWN_DIGEST_CHARACTERS,
            json_string_value (json_object_get (key, "digest")),
            json_string_value (json_object_get (key, "team")));
  }
  json_decref (list);
  return EXIT_DONE;
}

/* Publishes R and, with --json, prints its result.  Returns the state after R,
   or NULL.  */
static struct control *
publish (TALLOC_CTX *mem, struct ctl *c, struct record *r,
         struct command_result *f)
{
  struct control *s;

  ctl_make_command_id (f->id);
  s = ctl_publish (mem, c, r, f);
  if (s != NULL && c->json)
    ctl_print_json (json_pack ("{s:b, s:I}", "applied", (int)f->applied,
                               "offset", (json_int_t)f->offset),
                    JSON_INDENT (2));
  return s;
}

static int
grant (TALLOC_CTX *mem, struct ctl *c)
{
  struct record *r = talloc_zero (mem, struct record);
  struct command_result f = { 0 };
  struct control *s;
  const struct granted_key *k;

  r->kind = RECORD_KEY_GRANT;
  text_copy (r->u.key.team, NAME_BYTES, c->arguments[2]);
  if (!read_key_digest (c->arguments[3], r->u.key.digest))
    return EXIT_BAD_DOCUMENT;
  s = publish (mem, c, r, &f);
  if (s == NULL)
    return EXIT_UNREACHABLE;
  k = control_find_key (s, r->u.key.digest);
  if (k != NULL && strcmp (k->team, c->arguments[2]) == 0)
    return EXIT_DONE;
  fprintf (stderr, "fulmartackctl: not granted: this key belongs to %s\n",
           k ? k->team : "no team; it was withdrawn");
  return EXIT_REFUSED;
}

static int
withdraw (TALLOC_CTX *mem, struct ctl *c)
{
  struct record *r = talloc_zero (mem, struct record);
  struct command_result f = { 0 };

  r->kind = RECORD_KEY_WITHDRAW;
  if (!read_key_digest (c->arguments[2], r->u.key.digest))
    return EXIT_BAD_DOCUMENT;
  if (publish (mem, c, r, &f) == NULL)
    return EXIT_UNREACHABLE;
  if (f.applied)
    return EXIT_DONE;
  fprintf (stderr, "fulmartackctl: this key is not granted to any team\n");
  return EXIT_REFUSED;
}

int
ctl_key (struct ctl *c)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  const char *verb = c->argument_count > 1 ? c->arguments[1] : "";
  int code = EXIT_USAGE_ERROR;

  if (strcmp (verb, "grant") == 0 && c->argument_count == 4)
    code = grant (mem, c);
  else if (strcmp (verb, "withdraw") == 0 && c->argument_count == 3)
    code = withdraw (mem, c);
  else if (strcmp (verb, "list") == 0 && c->argument_count == 2)
    code = list_keys (mem, c);
  else
    fprintf (stderr, "usage: fulmartackctl key grant TEAM FILE | "
                     "key withdraw FILE | key list\n");
  talloc_free (mem);
  return code;
}
