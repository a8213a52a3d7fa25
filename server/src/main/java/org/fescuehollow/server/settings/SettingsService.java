package org.fescuehollow.server.settings;

import io.vertx.core.http.HttpClient;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fescuehollow.api.Fescuehollow;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.server.platform.LongPoll;
import org.fescuehollow.server.platform.SettingsPage;
import org.fescuehollow.settings.PathState;
import org.fescuehollow.settings.SettingsEntry;
import org.fescuehollow.settings.SettingsStore;
import org.fescuehollow.settings.SettingsView;

/**
 * Holds the settings in force and keeps them up to date from the platform and from other nodes.
 *
 * <p>Invariant: the revision of a path never goes back. Used on the node's loop.
 */
public final class SettingsService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "settings";

    private static final Logger LOG = System.getLogger(SettingsService.class.getName());

    private final NodeConfig mConfig;
    private final NodeLoop mLoop;
    private final HttpClient mClient;
    private final Metrics mMetrics;
    private final SettingsStore mStore = Fescuehollow.settings();
    private final List<Consumer<SettingsEntry>> mListeners = new ArrayList<>();
    private long mPlatformRevision;
    private Optional<LongPoll> mPoll = Optional.empty();

    /**
     * Creates the service.
     *
     * @param config the process's settings
     * @param loop the node's loop
     * @param client an HTTP client
     * @param metrics the process's metrics
     */
    public SettingsService(NodeConfig config, NodeLoop loop, HttpClient client, Metrics metrics) {
        mConfig = config;
        mLoop = loop;
        mClient = client;
        mMetrics = metrics;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mLoop.run(this::watch);
    }

    /** Begins to watch the platform's service, if not doing so. */
    public void watch() {
        if (mPoll.isEmpty()) {
            LongPoll poll = new LongPoll(mLoop, mClient, this::url, this::received);
            mPoll = Optional.of(poll);
            poll.begin();
        }
    }

    /** Stops watching the platform's service; other nodes go on telling this one of changes. */
    public void unwatch() {
        mPoll.ifPresent(LongPoll::stop);
        mPoll = Optional.empty();
    }

    private String url() {
        return mConfig.settingsUrl()
                + "/v1/watch?after="
                + mPlatformRevision
                + "&wait_ms="
                + LongPoll.HOLD.toMillis();
    }

    private void received(byte[] body) {
        SettingsPage page = SettingsPage.parse(body);
        page.entries().forEach(this::merge);
        mPlatformRevision = Math.max(mPlatformRevision, page.revision());
    }

    /**
     * Merges an entry.
     *
     * @param entry the entry, from the platform or from another node
     * @return true if it changed the state
     */
    public boolean merge(SettingsEntry entry) {
        if (!mStore.merge(entry)) {
            return false;
        }
        mStore.paths()
                .get(entry.path())
                .refusal()
                .ifPresent(p -> LOG.log(Level.WARNING, "settings refused: " + p.detail()));
        mMetrics.event("settings_changed");
        mMetrics.set("settings_paths", mStore.paths().size());
        mListeners.forEach(l -> l.accept(entry));
        return true;
    }

    /**
     * Registers an action for each change.
     *
     * @param listener takes the merged entry
     */
    public void onChange(Consumer<SettingsEntry> listener) {
        mListeners.add(listener);
    }

    /**
     * Returns the settings in force.
     *
     * @return a view that never changes
     */
    public SettingsView view() {
        return mStore.view();
    }

    /**
     * Returns all that is known of each path.
     *
     * @return the store
     */
    public SettingsStore store() {
        return mStore;
    }

    /**
     * Returns how long ago the platform's service last answered this node.
     *
     * @return milliseconds; -1 if this node doesn't watch it, or it never answered
     */
    public long platformAgeMillis() {
        return mPoll.map(LongPoll::ageMillis).orElse(-1L);
    }

    @Override
    public void stop() {
        mLoop.run(this::unwatch);
    }

    @Override
    public Object dump() {
        SortedMap<String, Object> out = new TreeMap<>();
        SortedMap<String, Object> paths = new TreeMap<>();
        mStore.paths().forEach((path, state) -> paths.put(path, describe(state)));
        out.put("paths", paths);
        out.put("digest", Long.toHexString(mStore.digest()));
        out.put("platform_revision", mPlatformRevision);
        out.put("watching", mPoll.isPresent());
        out.put("platform_reached", mPoll.map(LongPoll::isReached).orElse(false));
        out.put("platform_age_ms", platformAgeMillis());
        return out;
    }

    private static SortedMap<String, Object> describe(PathState state) {
        SortedMap<String, Object> out = new TreeMap<>();
        out.put("in_force", state.accepted().map(a -> a.revision().number()).orElse(0L));
        out.put("newest", state.newest().revision().number());
        out.put("deleted", state.accepted().filter(a -> a.text().isEmpty()).isPresent());
        state.refusal().ifPresent(p -> out.put("refused", p.detail()));
        return out;
    }
}
