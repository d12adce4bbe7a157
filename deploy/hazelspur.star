# The operator's file. Nothing here is switched on by the run line: start with
#   hazelspur-server --file deploy/hazelspur.star
# and check a change with
#   hazelspur-server check deploy/hazelspur.star
# docs/queues.md lists every key with its unit, default and bounds.

# amqp(
#     brokers = ["127.0.0.1:5672", "127.0.0.2:5672"],   # in the order of preference
#     user = "orders",
#     password_file = "/run/secrets/orders",
# )
#
# queue(
#     name = "orders",
#     op_type = "set-qty",
#     waits_s = 36000,
#     outcomes = {"expired": "reject"},
# )
#
# docs/settings.md: op types, tenants and some figures of the platform's settings change on SIGHUP:
#
# reload(settings = True)
#
# docs/fleet-operators.md lists the keys of the talk among servers:
#
# fleet(
#     installation = "bread",
#     site = "east",
#     at = "10.0.0.4:7946",
#     contacts = ["10.0.0.4:7946", "10.0.1.4:7946"],
#     key_file = "/run/secrets/fleet",
#     most = 400,
#     together = True,
#     keepers = ["n1", "n2", "n3", "n4", "n5"],
#     shares = [{"limit": "calls", "total": 1200}],
# )
