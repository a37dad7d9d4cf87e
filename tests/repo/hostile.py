"""Malformed and hostile requests with the statuses allowed in response; 0 is a close without a response."""

GOOD = b"GET /simple/simple/demo/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


def request_bytes(
    target: bytes, method: bytes = b"GET", version: bytes = b"HTTP/1.1", extra_headers: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    return (
        method
        + b" "
        + target
        + b" "
        + version
        + b"\r\nHost: x\r\nConnection: close\r\n"
        + extra_headers
        + b"\r\n"
    )


FILE = b"/simple/files/demo-1.0-py3-none-any.whl"
TRAVERSAL = [
    b"/simple/../etc/passwd",
    b"/../../etc/passwd",
    b"/simple/%2e%2e/x",
    b"/simple/%2E%2E/%2e%2e/x",
    b"/simple/..%2fx",
    b"/simple/.%2e/x",
    b"/simple/%2e./x",
    b"/simple/./x",
    b"/simple/files/..",
    b"/simple/a%2fb",
    b"/simple/a%2Fb",
    b"/simple/a%5cb",
    b"/simple/a%5C..%5cb",
    b"/simple/%00",
    b"/simple/a%00.whl",
    b"/simple/%0a",
    b"/simple/%0d%0aX: y",
    b"/simple/%7f",
    b"/simple/%1b[0m",
    b"/simple//files/x",
    b"//simple/files/x",
    b"/simple/%",
    b"/simple/%2",
    b"/simple/%zz",
    b"/simple/%u002e",
    b"/simple/%252e%252e/x",
    b"/simple/%25",
    b"/simple/a%25b",
    b"/simple/\\..\\x",
    b"/simple/files\\x",
    b'/simple/"x"',
    b"/simple/<x>",
    b"/simple/{x}",
    b"/simple/x|y",
    b"/simple/x^y",
    b"/simple/`x`",
    b"/simple/a%2f..%2f..%2fb",
    b"/simple/....//x",
    b"/simple/;/../x",
]
UNKNOWN_PATHS = [
    b"/",
    b"/simple",
    b"/simple/",
    b"/other/files/x",
    b"/simple/files/none.whl",
    b"/simple/files/",
    b"/Simple/x",
    b"/simple/files/demo-1.0-py3-none-any.whl/",
    b"/simple/files/demo-1.0-py3-none-any.whl/x",
    b"/simple/simple/none/",
    b"/simple/files/%c3%a9.whl",
    b"/simple/%ff%fe",
    b"/simple/simple/demo",
    b"/simple/files/demo-9.9-py3-none-any.whl",
    b"/simple/files/demo-1.0-py3-none-any.whl%20",
    b"/simple/files/*",
    b"/simple/?x=/simple/demo/",
    b"/simple/files/x.tar.gz",
    b"/simple/.git/config",
    b"/simple/~root",
    b"/simple/files/a:b",
]
TARGETS = [
    (b"*", {400}),
    (b"simple/files/x", {400}),
    (b"http://evil.example/simple/x", {421}),
    (b"https://x:1/y", {421}),
    (b"http://", {421}),
    (b"ftp://x/y", {400}),
    (b"evil.example:443", {400}),
    (b"/" + b"a" * 3000, {414}),
    (b"/" + b"a/" * 100, {414}),
    (b"/" + b"%41" * 1000, {414}),
    (b"?x", {400}),
    (b"#x", {400}),
    (b"/x#y", {400}),
    (b"/caf\xc3\xa9", {400}),
    (b"/\x01", {400}),
    (b"/a b", {400}),
    (b"/\t", {400}),
    (b"javascript:1", {400}),
    (b"//evil.example/%2e%2e", {400}),
    (b"/simple/%41%2e%2e/x", {404}),
]
METHODS = [
    b"POST",
    b"PUT",
    b"DELETE",
    b"PATCH",
    b"OPTIONS",
    b"TRACE",
    b"CONNECT",
    b"PROPFIND",
    b"get",
    b"Get",
    b"GETS",
    b"PURGE",
    b"LINK",
    b"X" * 40,
]
HEADERS = [
    (b"Content-Length: 5\r\nContent-Length: 6\r\n", {400}),
    (b"Content-Length: -1\r\n", {400}),
    (b"Content-Length: +5\r\n", {400}),
    (b"Content-Length: 0x5\r\n", {400}),
    (b"Content-Length: 5, 6\r\n", {400}),
    (b"Content-Length: \r\n", {400}),
    (b"Content-Length: 1e3\r\n", {400}),
    (b"Content-Length: 99999999999999999999999\r\n", {400}),
    (b"Content-Length: 5 5\r\n", {400}),
    (b"Transfer-Encoding: chunked, gzip\r\n", {501, 400}),
    (b"Transfer-Encoding: gzip\r\n", {501, 400}),
    (b"Transfer-Encoding: xchunked\r\n", {501, 400}),
    (b"Transfer-Encoding: chunked, chunked\r\n", {501, 400}),
    (b"Transfer-Encoding : chunked\r\n", {400}),
    (b" Transfer-Encoding: chunked\r\n", {400, 501, 200, 404}),
    (b"Transfer-Encoding:\x0bchunked\r\n", {400, 501}),
    (b"Host: y\r\n", {400}),
    (b"NoColon\r\n", {400}),
    (b": empty\r\n", {400}),
    (b"Bad Name: x\r\n", {400}),
    (b"X: a\x00b\r\n", {400}),
    (b"X: a\rb\r\n", {400}),
    (b"X\x7f: a\r\n", {400}),
    (b"(x): a\r\n", {400}),
    (b"X:" + b"a" * 20_000 + b"\r\n", {400, 431}),
    (b"".join(b"X%d: y\r\n" % n for n in range(100)), {431}),
    (b"Expect: magic\r\n", {417}),
    (b"Expect: 100-continue, magic\r\n", {417}),
    (b"Connection: upgrade\r\nUpgrade: h2c\r\n", {200}),
    (b"Cookie: " + b"a=b;" * 500 + b"\r\n", {200}),
    (b"X-Forwarded-For: 1.2.3.4\r\n", {200}),
    (b"X-Original-URL: /admin\r\n", {200}),
    (b"Accept-Encoding: gzip\r\n", {200}),
]
RANGES = [
    (b"bytes=0-0", 206),
    (b"bytes=-1", 206),
    (b"bytes=0-", 206),
    (b"bytes=5-4", 200),
    (b"bytes=99999999-", 416),
    (b"bytes=-0", 416),
    (b"bytes=", 200),
    (b"bytes=a-b", 200),
    (b"bytes=--1", 200),
    (b"bytes=1", 200),
    (b"items=0-1", 200),
    (b"bytes 0-1", 200),
    (b"bytes=0-1,", 206),
    (b"bytes=0-1,5-6", 206),
    (b"bytes=0-99999999999999999999999", 200),
    (b"bytes=" + b",".join(b"%d-%d" % (n, n) for n in range(50)), 200),
    (b"bytes=0-,0-,0-", 200),
    (b"bytes=0-0x5", 200),
    (b"bytes=0-1;2-3", 200),
    (b"BYTES=0-1", 206),
    (b"bytes = 0-1", 206),
    (b"bytes=\xd9\xa1-", 200),
]
RAW = [
    (b"\r\n\r\n\r\n", {0, 400}),
    (b"\0" * 100, {400, 0}),
    (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", {400, 0}),
    (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", {400, 405, 505, 0}),
    (b"GET\r\n\r\n", {400}),
    (b"GET /\r\n\r\n", {400}),
    (b"GET / HTTP/9.9\r\nHost: x\r\n\r\n", {400, 404, 505}),
    (b"GET / HTTP/1.1\r\n\r\n", {400}),
    (b"GET  / HTTP/1.1\r\nHost: x\r\n\r\n", {400}),
    (b"GET / HTTP/1.1 \r\nHost: x\r\n\r\n", {400}),
    (b"GET / http/1.1\r\nHost: x\r\n\r\n", {400}),
    (b"a" * 20_000, {400, 431}),
    (b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 5000, {400, 431}),
    (b"GET / HTTP/1.1\nHost: x\n\n", {400, 404}),
    (b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", {400, 405}),
    (
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
        {400, 405, 413},
    ),
    (
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        {400, 405},
    ),
    (b"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", {400}),
    (
        b"HEAD / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\nConnection: close\r\n\r\n" + b"x" * 100_000,
        {413, 404},
    ),
    (b"QUIT\r\n", {0, 400}),
]
CORPUS = [
    *(
        (request_bytes(target), {400})
        for target in TRAVERSAL
        if target not in (b"/simple/....//x", b"/simple/;/../x")
    ),
    (request_bytes(b"/simple/....//x"), {400}),
    (request_bytes(b"/simple/;/../x"), {400}),
    *((request_bytes(target), {404}) for target in UNKNOWN_PATHS),
    *((request_bytes(target), statuses) for target, statuses in TARGETS),
    *((request_bytes(FILE, method), {405, 400}) for method in METHODS),
    *((request_bytes(FILE, extra_headers=more), statuses) for more, statuses in HEADERS),
    *(
        (request_bytes(FILE, extra_headers=b"Range: " + value + b"\r\n"), {status})
        for value, status in RANGES
    ),
    *RAW,
]
