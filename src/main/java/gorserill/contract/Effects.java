package gorserill.contract;

import barrowflow.Dispatcher.Effect;

/** The words of descriptions for what running a job twice does, and which of two is the stricter. */
public final class Effects {
    private Effects() {}

    /** The effect that a word means; null where it means none. */
    static Effect of(String word) {
        return switch (word) {
            case "safe" -> Effect.SAFE;
            case "keyed" -> Effect.KEYED;
            case "once" -> Effect.UNSAFE;
            default -> null;
        };
    }

    public static String word(Effect effect) {
        return switch (effect) {
            case SAFE -> "safe";
            case KEYED -> "keyed";
            case UNSAFE -> "once";
        };
    }

    /** The one that allows less. */
    public static Effect stricter(Effect a, Effect b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    /** Whether the first allows what the second does not. */
    public static boolean weaker(Effect a, Effect than) {
        return a.compareTo(than) < 0;
    }
}
