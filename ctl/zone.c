/* zone.c -- fulmartackctl zone.  */

#include "ctl/ctl.h"

#include "core/vm_control.h"

#include <stdio.h>
#include <string.h>

/* Prints why the command R was rejected, as the state S after it tells.  */
static void
print_rejection (const struct control *s, const struct record *r)
{
  const char *zone = r->u.zone.zone;

  if (!vm_control_has_zone (s, zone))
    fprintf (stderr, "fulmartackctl: no VM of the tables is in zone %s\n",
             zone);
  else
    fprintf (stderr, "fulmartackctl: zone %s is %s\n", zone,
             r->kind == RECORD_ZONE_EVACUATE ? "evacuated already"
                                             : "not evacuated");
}

static int
publish_zone (struct ctl *c, struct record *r)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct command_result f = { 0 };
  struct control *s;
  int code = EXIT_DONE;

  ctl_make_command_id (f.id);
  s = ctl_publish (mem, c, r, &f);
  if (s == NULL)
    code = EXIT_UNREACHABLE;
  else if (!f.applied)
    {
      print_rejection (s, r);
      code = EXIT_REFUSED;
    }
  talloc_free (mem);
  return code;
}

int
ctl_zone (struct ctl *c)
{
  struct record r = { 0 };
  const char *verb = c->argument_count == 3 ? c->arguments[1] : "";

  if (strcmp (verb, "evacuate") == 0)
    r.kind = RECORD_ZONE_EVACUATE;
  else if (strcmp (verb, "return") == 0)
    r.kind = RECORD_ZONE_RETURN;
  else
    {
      fprintf (stderr, "usage: fulmartackctl zone evacuate|return NAME\n");
      return EXIT_USAGE_ERROR;
    }
  /* A longer name would be cut to that of another zone.  */
  if (!text_copy (r.u.zone.zone, NAME_BYTES, c->arguments[2]))
    {
      fprintf (stderr, "fulmartackctl: no VM of the tables is in zone %s\n",
               c->arguments[2]);
      return EXIT_REFUSED;
    }
  return publish_zone (c, &r);
}
