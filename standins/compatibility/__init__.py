"""Checks that this build of the gateway works on data of an older build, and beside its processes.

    python -m standins.compatibility --old FOLDER

FOLDER is a worktree of the older build. Its processes run with its own `.venv/bin/python` where there is one,
otherwise with this interpreter; this build is the checkout that the package lies in. Both builds are reached
through command lines, sockets and files only, so identifiers may differ between them. The datagrams are
packed and read by a short program in each build, which finds the functions and classes by their annotations.
Stand-in servers and clients are those of this build.

One line is printed for each check. Exit code 0 if all checks hold, 1 if one failed, 2 for bad input.
"""
