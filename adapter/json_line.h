/* json_line.h -- finds the line of a value in the text of a JSON document.  */

#ifndef FTK_ADAPTER_JSON_LINE_H
#define FTK_ADAPTER_JSON_LINE_H

#include <stdint.h>

/** Returns the line, from 1, of the value at PATH (such as
    "pools[2].vms[0].slots") in TEXT, a valid JSON document.  If the
    document lacks it, the line is that of the last part of PATH found: for a
    missing field, of the object that should contain it.  */
uint32_t json_line_of (const char *text, const char *path);

#endif
