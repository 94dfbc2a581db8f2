"""The way of a request through a proxy: read, admitted, sent to an endpoint, answered.

Begin with `forwarder.Forwarder`. `client_connection` reads requests and writes answers,
`admission` finds a request's route and tenant, `queue` holds requests that wait for an endpoint,
`retry_policy` says what may be sent again, `endpoint_connection` carries one request at a time,
`answer_policy` says what an endpoint's answer means.
"""
