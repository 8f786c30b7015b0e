"""HTTP with JSON bodies, one connection for each call."""
import http.client
import json


def call(method, ip, port, path, body=None, timeout_s=2.0):
    """Status and decoded body; (0, None) when there is no whole answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data)
        answer = connection.getresponse()
        text = answer.read()
        return answer.status, json.loads(text) if text[:1] in b"{[" and text else None
    except (OSError, http.client.HTTPException, ValueError):
        return 0, None
    finally:
        connection.close()
