package gorserill.protocol.http;

import gorserill.contract.Call;

/** A request of HTTP as a contract looks at it. */
record HttpCall(HttpRequest request, String path, String query) implements Call {
    static HttpCall of(HttpRequest request) {
        String target = request.head().targetOrStatus();
        int question = target.indexOf('?');
        return question < 0
                ? new HttpCall(request, target, null)
                : new HttpCall(request, target.substring(0, question), target.substring(question + 1));
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
