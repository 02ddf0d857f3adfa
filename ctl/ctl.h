/* ctl.h -- what the commands of fulmartackctl share.  */

#ifndef FTK_CTL_CTL_H
#define FTK_CTL_CTL_H

#include "adapter/http_client.h"
#include "core/control.h"

#include <jansson.h>

#define ENTRY_LIMIT_COUNT 64

/** Exit codes of fulmartackctl.  */
enum exit_code
{
  EXIT_DONE = 0,         /**< Done.  */
  EXIT_REFUSED = 1,      /**< Refused; nothing was changed.  */
  EXIT_BAD_DOCUMENT = 2, /**< The document has findings.  */
  EXIT_UNREACHABLE = 3,  /**< The log or an entry did not answer.  */
  EXIT_NOT_IN_FORCE = 4, /**< Published, but some entry has not told yet.  */
  EXIT_USAGE_ERROR = 64  /**< Wrong arguments.  */
};

struct ctl
{
  const char *log;
  const char *entries[ENTRY_LIMIT_COUNT];
  uint32_t entry_count;
  bool json;
  uint32_t wait_ms; /**< How long config apply waits for the entries.  */
  char **arguments; /**< Command and its words.  */
  int argument_count;
};

/** Calls METHOD on http://ADDRESS/PATH with BODY (NULL: none) and returns the
    JSON answer, or NULL; the HTTP status goes to *STATUS.  */
json_t *ctl_call (const char *method, const char *address, const char *path,
                  const json_t *body, uint32_t *status);

/** Reads the whole log into a control state as a child of MEM, or NULL.  */
struct control *ctl_read_log (TALLOC_CTX *mem, const struct ctl *c);

/** Appends RECORD to the log; repeats it after a lost answer.  */
bool ctl_append (const struct ctl *c, const json_t *record);

/** Writes a fresh command id to ID (ID_BYTES).  */
void ctl_command_id (char *id);

int ctl_config (struct ctl *c);
int ctl_key (struct ctl *c);
int ctl_status (struct ctl *c);
int ctl_timeline (struct ctl *c);
int ctl_submit (struct ctl *c);
int ctl_wave (struct ctl *c);
int ctl_vm (struct ctl *c);
int ctl_pool (struct ctl *c);

#endif
