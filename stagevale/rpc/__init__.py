"""Messages between the daemons: framing, encoding, typed messages, requests and replies.

`kinds` lists every kind of message, `codec` turns values into bytes, `message` turns typed messages
into values, `transport` carries them over TCP, `errors` says what can go wrong.
"""
