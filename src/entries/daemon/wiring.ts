/** Composition root of the entry daemon: the only module that selects the implementation of each service. */
import {readFileSync} from 'node:fs';
import '../../features/intake/intake.contribution.js';
import '../../features/jobs/jobs.contribution.js';
import '../../features/membership/membership.contribution.js';
import '../../features/placement/placement.contribution.js';
import '../../features/profiles/profiles.contribution.js';
import '../../features/submissions/submissions.contribution.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {hashText} from '../../base/hash-text.js';
import {Random} from '../../base/random.js';
import {SystemClock} from '../../base/system-clock.js';
import {Readiness} from '../../features/intake/readiness.js';
import {readinessKey} from '../../features/intake/readiness-key.js';
import {StatusReport} from '../../features/intake/status-report.js';
import {statusReportKey} from '../../features/intake/status-report-key.js';
import {HttpInstanceList} from '../../runtime/instances/http-instance-list.js';
import {DebugJournal} from '../../runtime/journal/debug-journal.js';
import {Kernel} from '../../runtime/kernel/kernel.js';
import {ServiceContainer} from '../../runtime/kernel/service-container.js';
import {NoopMetrics} from '../../runtime/metrics/noop-metrics.js';
import {StatsdMetrics} from '../../runtime/metrics/statsd-metrics.js';
import type {PeerTransport} from '../../runtime/peers/peer-transport.js';
import {TcpPeerNetwork} from '../../runtime/peers/tcp-peer-network.js';
import {TcpTransport} from '../../runtime/peers/tcp-transport.js';
import {TlsTransport} from '../../runtime/peers/tls-transport.js';
import {runtimeKeys} from '../../runtime/runtime-keys.js';
import type {Settings} from '../../runtime/settings/settings.js';
import {HttpLogClient} from '../../runtime/stream/http-log-client.js';
import {HttpTargetDriver} from '../../runtime/targets/http-target-driver.js';

/** The services of a daemon; disposing it stops all of them. */
type WiredDaemon = Disposable & {readonly services: ServiceContainer; readonly network: TcpPeerNetwork};

/** Creates and activates all services. Opens the peer port, but not the HTTP port. */
export async function wireDaemon(settings: Settings): Promise<WiredDaemon> {
	const store = new DisposableStore();
	const services = new ServiceContainer();
	const clock = new SystemClock();
	const journal = new DebugJournal();
	const {entry, platform, peers, limits} = settings;

	const network = store.add(new TcpPeerNetwork({
		instance: entry.instance, zone: entry.zone, address: entry.address, port: entry.peerPort, key: peers.key, transport: createTransport(settings), advertised: entry.advertisedPeerAddress,
	}, clock, journal));
	await network.listen();
	const list = store.add(new HttpInstanceList(platform.instanceListUrl, clock, journal));

	services.provide(runtimeKeys.settings, settings);
	services.provide(runtimeKeys.clock, clock);
	services.provide(runtimeKeys.random, new Random(hashText(network.self.id)));
	services.provide(runtimeKeys.journal, journal);
	services.provide(runtimeKeys.metrics, createMetrics(settings, store));
	services.provide(runtimeKeys.instanceList, list);
	services.provide(runtimeKeys.peerNetwork, network);
	services.provide(runtimeKeys.logClient, new HttpLogClient(platform.logUrl));
	services.provide(runtimeKeys.targetDriver, store.add(new HttpTargetDriver(limits.answerBytes)));
	services.provide(statusReportKey, new StatusReport());
	services.provide(readinessKey, new Readiness());

	const kernel = store.add(new Kernel(services));
	kernel.activate();
	list.start();
	return {
		services, network, dispose() {
			store.dispose();
		},
	};
}

function createTransport({peers}: Settings): PeerTransport {
	const {certificateFile, privateKeyFile, authorityFile} = peers;
	if (certificateFile === undefined || privateKeyFile === undefined || authorityFile === undefined) {
		return new TcpTransport();
	}

	return new TlsTransport({
		certificate: readFileSync(certificateFile, 'utf8'),
		privateKey: readFileSync(privateKeyFile, 'utf8'),
		authority: readFileSync(authorityFile, 'utf8'),
	});
}

function createMetrics(settings: Settings, store: DisposableStore) {
	const {statsdHost, statsdPort} = settings.platform;
	return statsdHost === undefined ? new NoopMetrics() : store.add(new StatsdMetrics(statsdHost, statsdPort, settings.entry.zone));
}
