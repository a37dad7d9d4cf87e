"""Which gateways are there: views, detection, word between gateways; no I/O, time and draws given."""
