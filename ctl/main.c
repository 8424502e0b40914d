/* baobabctl: the command line tool of the operators. */
#include <stdlib.h>

#include "ctl.h"

int
main(int argc, char **argv)
{
    return (int)bb_ctl_run(argc, argv, stdout, stderr);
}
