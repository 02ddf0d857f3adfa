/* expected.h -- comparing what a test gave with its expected output.  */

#ifndef TESTS_EXPECTED_H
#define TESTS_EXPECTED_H

#include <glib.h>

/** Compares TEXT with the file that has ".expected" in place of FILE's
    ending SUFFIX, and fails with the first line that differs.  With
    FTK_WRITE_EXPECTED set TEXT is written there instead.  */
void expected_check (const gchar *file, const gchar *suffix,
                     const gchar *text);

/** Adds a test PREFIX/NAME for each file of FOLDER that ends in SUFFIX; CHECK
    gets its path.  */
void expected_add_folder (const gchar *prefix, const gchar *folder,
                          const gchar *suffix, GTestDataFunc check);

#endif
