/* zones.h -- the zones that are evacuated.

   Load: a whole zone of a deployment stops taking work at once, and the other
   zones have to carry all of it until the zone returns.  */

#ifndef FTK_CORE_LOAD_ZONES_H
#define FTK_CORE_LOAD_ZONES_H

#include "port/types.h"

#include <stdbool.h>
#include <stdint.h>

/** What has been logged of an evacuated zone.  */
enum zone_notice
{
  ZONE_NOT_LOGGED,
  ZONE_LOGGED_UNKNOWN,  /**< That no runner is in it.  */
  ZONE_LOGGED_EVACUATED /**< That its runners take no new tasks.  */
};

/** An evacuated zone.  */
struct zone
{
  char name[NAME_BYTES];
  enum zone_notice notice;
};

/** The evacuated zones.  All zero: none.  */
struct zones
{
  uint32_t count;
  struct zone *items;
};

/** Returns the zone NAME of Z, or NULL if it is not evacuated.  The empty name
    stands for an unknown zone, which is never evacuated.  */
struct zone *zones_find (const struct zones *z, const char *name);
/** Returns true if the zone NAME is evacuated.  */
bool zones_contain (const struct zones *z, const char *name);
/** Sets the notices of those zones of TO that are also in FROM to those in
    FROM.  */
void zones_keep_notices (struct zones *to, const struct zones *from);
/** Forgets all notices, so that each zone of Z is logged anew.  */
void zones_clear_notices (struct zones *z);
/** Updates the notice of X, in which RUNNER_COUNT runners are registered.
    Returns the notice to log, or ZONE_NOT_LOGGED if there is none.  A zone is
    logged as unknown once.  */
enum zone_notice zones_update_notice (struct zone *x, uint32_t runner_count);

#endif
