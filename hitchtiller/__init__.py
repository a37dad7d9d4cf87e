"""A gateway in front of caches of large objects: routes requests to caches behind links of low bandwidth."""
