"""The operators' file (HCL): its schema (`model`), and how it is read and checked (`read`)."""
