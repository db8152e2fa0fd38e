package gorserill.protocol.http;

import gorserill.contract.Call;

/** Adapts an HTTP request to the {@link Call} interface that contracts check. */
record HttpCall(HttpRequest request, String path, String query) implements Call {
    static HttpCall of(HttpRequest request) {
        String target = request.head().targetOrStatus();
        int queryStart = target.indexOf('?');
        return queryStart < 0
                ? new HttpCall(request, target, null)
                : new HttpCall(request, target.substring(0, queryStart), target.substring(queryStart + 1));
    }

    @Override
    public String method() {
        return request.head().methodOrVersion();
    }

    @Override
    public String header(String name) {
        return request.head().header(name);
    }

    @Override
    public boolean repeated(String name) {
        return request.head().repeated().contains(name);
    }

    @Override
    public byte[] body() {
        return request.body();
    }
}
