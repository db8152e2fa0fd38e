package gorserill.program.scale;

/** A node's answer to a client. */
record Answer(int status, boolean closes, String body) {
    private static final int OK = 200;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    boolean served() {
        return status == OK;
    }

    boolean refused() {
        return status == TOO_MANY || status == UNAVAILABLE;
    }
}
