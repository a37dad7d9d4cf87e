"""The operators' own file (HCL): what may stand in it, and how it is read and checked."""
