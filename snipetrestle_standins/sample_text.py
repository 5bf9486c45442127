"""Texts of the sample files that operators start from."""

PUBLISHED_HEADER = """\
# Published configuration: what all daemons read. Check it with
#   snipetrestle check --published FILE
#
# policy            weights of the two measures, load stalls and batch efficiency
# models            base models
# weight_stores     rate-limited stores of adapter weights
# daemons           names of the daemons; a name stays when its host is replaced
# writes            epoch, and start: new until all daemons have started once, then existing
# services          plain services beside the engines
# backend_servers   engines (with model) and servers of plain services (with service)
# operators         operators' keys, as SHA-256
# customers         one contract for each customer; every limit is derived from it
# adapters          adapters and the versions that may be requested
"""

SETTINGS = """\
# Settings of one daemon. The defaults, with their meaning, are in
# snipetrestle/settings_default.yaml. Check the file with
#   snipetrestle check --settings FILE
daemon:
  name: {name}
  failure_domain: {failure_domain}
  region: {region}

# Plain text is accepted on loopback only; other addresses need the tls section.
listen:
  callers: "127.0.0.1:{callers}"
  peers: "127.0.0.1:{peers}"
  operators: "127.0.0.1:{operators}"

platform:
  configuration_service: "http://127.0.0.1:{configuration_service}"
  host_list: "http://127.0.0.1:{host_list}"

logs: {{format: text, level: INFO}}
"""
