# What `make shop` serves: one queue whose messages name their op types, for the town of `make town`.

amqp(
    brokers = ["127.0.0.1:5672"],
    user = "guest",
    password = "guest",
    spread_s = 1.0,
)

queue(
    name = "orders",
    waits_s = 3600,
    retry_queue = "orders-later",
    outcomes = {"nacked": "retry"},
)
