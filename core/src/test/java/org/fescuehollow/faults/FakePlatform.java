package org.fescuehollow.faults;

import java.util.ArrayList;
import java.util.List;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmList;
import org.fescuehollow.settings.SettingsEntry;

/**
 * A platform that serves settings and a VM list. The settings can be unavailable or stale, and the
 * list can be frozen.
 */
final class FakePlatform {
    private final List<Vm> mVms = new ArrayList<>();
    private VmList mPublishedVmList = VmList.EMPTY;
    private long mVmListRevision;
    private long mBatchSize = 8;
    private long mSettingsRevision;
    private boolean mSettingsDown;
    private boolean mSettingsStale;
    private boolean mVmListFrozen;

    void putVm(Vm vm) {
        mVms.removeIf(v -> v.id().equals(vm.id()));
        mVms.add(vm);
        publishVmList();
    }

    void removeVm(String id) {
        mVms.removeIf(v -> v.id().equals(id));
        publishVmList();
    }

    private void publishVmList() {
        mVmListRevision++;
        if (!mVmListFrozen) {
            mPublishedVmList = new VmList(mVmListRevision, mVms);
        }
    }

    VmList vmList() {
        return mPublishedVmList;
    }

    void setVmListFrozen(boolean frozen) {
        mVmListFrozen = frozen;
        publishVmList();
    }

    void setSettingsDown(boolean down) {
        mSettingsDown = down;
    }

    void setSettingsStale(boolean stale) {
        mSettingsStale = stale;
    }

    void publishSettings() {
        mSettingsRevision++;
        mBatchSize = 8 + mSettingsRevision % 3;
    }

    List<SettingsEntry> settings() {
        if (mSettingsDown) {
            return List.of();
        }
        long revision = mSettingsStale ? Math.max(1, mSettingsRevision - 2) : mSettingsRevision;
        String yaml = "kind: model\nslots: 2\nbatch: " + mBatchSize + "\nfencing: ignored\n";
        return List.of(
                SettingsEntry.value("services/svc", revision, yaml),
                SettingsEntry.value("store", 1, "loads_per_second: 50\nin_transit: 8\n"));
    }
}
