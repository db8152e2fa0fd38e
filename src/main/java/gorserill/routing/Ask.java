package gorserill.routing;

/**
 * What a client asks besides the work itself.
 *
 * @param arrived when the request's last byte came
 * @param timeLeft how long the client waits, from then on
 * @param repeat whether it says that it asks again
 * @param tenant its place in the settings' list; any number where that is empty
 * @param key what the job is about; 0 for nothing
 * @param slots slots that it takes of a worker
 * @param memory memory units that it takes
 */
public record Ask(long arrived, long timeLeft, boolean repeat, int tenant, long key, double slots,
                  double memory) { }
