package gorserill.protocol;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The tenants listed in the settings, for both client frontends. Requests that name none of them, or no tenant at
 * all, belong to a common group without a share: their jobs use only capacity left over, so omitting the name does
 * not bypass the shares. Memory use does not grow with the names that clients send.
 */
public final class Tenants {
    private static final Logger LOG = Logger.getLogger(Tenants.class.getName());
    /** Index of tenants that the settings do not list. */
    public static final int UNLISTED = -1;

    private final Map<String, Integer> indexes = new HashMap<>();
    private boolean warnedMissing;
    private boolean warnedUnknown;

    /** @param names as in the settings; empty if the deployment has no tenants */
    public Tenants(List<String> names) {
        for (String name : names) {
            indexes.putIfAbsent(name, indexes.size());
        }
    }

    /** The index in the settings of the tenant that a request names, or {@link #UNLISTED}. */
    public int indexOf(String tenant) {
        if (indexes.isEmpty()) {
            return 0;
        }
        // Values in the settings contain no spaces or commas, so names are normalized before the lookup.
        Integer index =
                tenant == null ? null : indexes.get(tenant.replace(' ', '_').replace(',', '_'));
        if (index != null) {
            return index;
        }
        if (tenant == null && !warnedMissing) {
            warnedMissing = true;
            LOG.log(Level.WARNING, "a job names no tenant; such jobs take only what is left over");
        } else if (tenant != null && !warnedUnknown) {
            warnedUnknown = true;
            LOG.log(
                    Level.WARNING,
                    "a job names a tenant that the settings do not: {0}; such jobs take only " + "what is left over",
                    tenant.length() > 64 ? tenant.substring(0, 64) : tenant);
        }
        return UNLISTED;
    }
}
