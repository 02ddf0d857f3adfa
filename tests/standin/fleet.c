/* fleet.c -- stand-in of the fleet service: lists VMs, drains, reboots.

   VMs are set by PUT /vms with the JSON list to show.  Faults: down, slow_ms,
   lose_answers, reboot_ms, lag_ms (age of the list shown).  */

#include "tests/standin/server.h"

#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define VM_LIMIT 4096
#define NAME_BYTES 64
#define DEFAULT_REBOOT_MS 200

/** What a VM does now.  */
enum vm_state
{
  VM_LIVE,
  VM_DRAINING,
  VM_REBOOTING,
  VM_GONE
};

struct vm
{
  char name[NAME_BYTES];
  enum vm_state state;
  int64_t until_ms; /**< End of a reboot.  */
  int64_t boot_count;
};

static struct vm vms[VM_LIMIT];
static int vm_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static const char *const state_names[]
    = { "live", "draining", "rebooting", "gone" };

static struct vm *
find_vm (const char *name)
{
  int i;

  for (i = 0; i < vm_count; i++)
    if (strcmp (vms[i].name, name) == 0)
      return &vms[i];
  return NULL;
}

static void
put_vms (struct exchange *x)
{
  json_t *list = json_loadb (x->body, x->body_bytes, 0, NULL);
  json_t *name;
  size_t i;

  vm_count = 0;
  json_array_foreach (list, i, name)
  {
    memset (&vms[vm_count], 0, sizeof vms[0]);
    strncpy (vms[vm_count].name, json_string_value (name), NAME_BYTES - 1);
    vm_count++;
  }
  json_decref (list);
  answer_set (x, 200, "{}");
}

static void
settle (struct vm *v)
{
  if (v->state == VM_REBOOTING && clock_ms () >= v->until_ms)
    {
      v->state = VM_LIVE;
      v->boot_count++;
    }
}

static void
list_vms (struct exchange *x)
{
  json_t *list = json_array ();
  json_t *page;
  int i;

  for (i = 0; i < vm_count; i++)
    {
      settle (&vms[i]);
      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:I}", "name", vms[i].name, "state",
                           state_names[vms[i].state], "boots",
                           (json_int_t)vms[i].boot_count));
    }
  page = json_pack ("{s:I, s:o}", "at_ms", (json_int_t)clock_ms (), "vms",
                    list);
  x->answer = json_dumps (page, JSON_COMPACT);
  x->answer_bytes = (uint32_t)strlen (x->answer);
  x->status = 200;
  json_decref (page);
}

/* POST /v1/vms/NAME/VERB  */
static void
operate (struct exchange *x)
{
  char name[NAME_BYTES];
  char verb[NAME_BYTES];
  int64_t reboot_ms = fault_get ("reboot_ms");
  struct vm *v = NULL;

  if (sscanf (x->url, "/v1/vms/%63[^/]/%63s", name, verb) == 2)
    v = find_vm (name);
  if (v == NULL)
    {
      answer_set (x, 404, "{}");
      return;
    }
  if (strcmp (verb, "drain") == 0)
    v->state = VM_DRAINING;
  else if (strcmp (verb, "return") == 0)
    v->state = VM_LIVE;
  else if (strcmp (verb, "remove") == 0)
    v->state = VM_GONE;
  else if (strcmp (verb, "reboot") == 0)
    {
      v->state = VM_REBOOTING;
      v->until_ms = clock_ms () + (reboot_ms ? reboot_ms : DEFAULT_REBOOT_MS);
    }
  answer_set (x, 200, "{\"state\":\"%s\"}", state_names[v->state]);
}

static void
handle (struct exchange *x)
{
  pthread_mutex_lock (&lock);
  if (strcmp (x->url, "/vms") == 0)
    put_vms (x);
  else if (strcmp (x->url, "/v1/vms") == 0)
    list_vms (x);
  else
    operate (x);
  pthread_mutex_unlock (&lock);
}

int
main (int argc, char **argv)
{
  uint16_t port = argc > 1 ? (uint16_t)atoi (argv[1]) : 7002;

  standin_handler = handle;
  return standin_serve (port, port);
}
