package gorserill.protocol;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The tenants that the settings name, for both fronts. Whoever is none of them, or says nothing, is one of
 * the rest, which has no share: its jobs take only what is left over, and so it is no way round the shares.
 * What is kept does not grow with the names that clients think up.
 */
public final class Tenants {
    private static final Logger LOG = Logger.getLogger(Tenants.class.getName());
    /** The place of whoever the settings do not name. */
    public static final int UNLISTED = -1;

    private final Map<String, Integer> places = new HashMap<>();
    private boolean toldMissing;
    private boolean toldUnknown;

    /** @param names as in the settings; none where the deployment has no tenants */
    public Tenants(List<String> names) {
        for (String name : names) {
            places.putIfAbsent(name, places.size());
        }
    }

    /** The place among the settings' tenants of what a request says, or {@link #UNLISTED}. */
    public int indexOf(String said) {
        if (places.isEmpty()) {
            return 0;
        }
        // Settings have no spaces and commas in values; names are compared as they stand there.
        Integer place = said == null ? null : places.get(said.replace(' ', '_').replace(',', '_'));
        if (place != null) {
            return place;
        }
        if (said == null && !toldMissing) {
            toldMissing = true;
            LOG.log(Level.WARNING, "a job names no tenant; such jobs take only what is left over");
        } else if (said != null && !toldUnknown) {
            toldUnknown = true;
            LOG.log(
                    Level.WARNING,
                    "a job names a tenant that the settings do not: {0}; such jobs take only " + "what is left over",
                    said.length() > 64 ? said.substring(0, 64) : said);
        }
        return UNLISTED;
    }
}
