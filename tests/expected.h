/* expected.h -- compares the output of a test with its expected output.  */

#ifndef TESTS_EXPECTED_H
#define TESTS_EXPECTED_H

#include <glib.h>

/** Compares TEXT with the file whose name is FILE with its ending SUFFIX
    replaced by ".expected".  The test fails with the first line that differs.
    If FTK_WRITE_EXPECTED is set, writes TEXT to that file first.  */
void expected_check (const gchar *file, const gchar *suffix,
                     const gchar *text);

/** Adds a test PREFIX/NAME for each file NAME of DIRECTORY that ends in
    SUFFIX.  CHECK is called with the path of the file.  */
void expected_add_directory (const gchar *prefix, const gchar *directory,
                             const gchar *suffix, GTestDataFunc check);

#endif
