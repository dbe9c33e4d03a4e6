/** Routing table of an entry. */
import type {Clock} from '../../base/clock.js';
import {Emitter} from '../../base/emitter.js';
import type {ServiceName} from '../../base/service-name.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {QueueRoute} from './queue-route.js';
import type {RoutingConfiguration} from './routing-configuration.js';

/** Result of a route lookup. */
type Resolution = {readonly kind: 'found'; readonly route: QueueRoute} | {readonly kind: 'unknown' | 'uncertain'};
/** Origin of a configuration version. */
type ConfigurationSource = 'store' | 'peer';

/**
 * Applies the highest version received from any source. Sources may be stale and responses may arrive out of order, so lower
 * versions are ignored for the lifetime of the process.
 */
export class RoutingTable {
	#configuration: RoutingConfiguration | undefined;
	#byHost = new Map<string, readonly QueueRoute[]>();
	#confirmedAt = Number.NEGATIVE_INFINITY;
	#invalidatedAt = Number.NEGATIVE_INFINITY;
	readonly #services = new Set<ServiceName>();
	readonly #changeEmitter = new Emitter<RoutingConfiguration>();

	/** `maximumAgeMilliseconds`: how long a confirmation stays valid; must be below the time in which changes have to take effect. */
	constructor(private readonly maximumAgeMilliseconds: number, private readonly clock: Clock, private readonly journal: Journal) {}

	get onDidChange() {
		return this.#changeEmitter.event;
	}

	get configuration(): RoutingConfiguration | undefined {
		return this.#configuration;
	}

	get version(): number {
		return this.#configuration?.version ?? 0;
	}

	/**
	 * Services of all versions applied so far; undefined before the first one. Services without a queue are kept, since
	 * accepted jobs may still run there.
	 */
	get services(): ReadonlySet<ServiceName> | undefined {
		return this.#configuration === undefined ? undefined : this.#services;
	}

	/** Applies a version if it is newer than the current one. */
	update(configuration: RoutingConfiguration, source: ConfigurationSource): void {
		if (configuration.version <= this.version) {
			return;
		}

		this.journal.record('routingChanged', {
			version: configuration.version, previous: this.version, routes: configuration.routes.length, source,
		});
		this.#configuration = configuration;
		this.#byHost = groupByHost(configuration.routes);
		for (const {service} of configuration.routes) {
			this.#services.add(service);
		}

		this.#changeEmitter.fire(configuration);
	}

	/**
	 * Records that the store had no newer version at `knownAt`, according to a read sent at `readAt`; both are monotonic times
	 * in milliseconds.
	 */
	confirm(readAt: number, knownAt = readAt): void {
		if (readAt >= this.#invalidatedAt) {
			this.#confirmedAt = Math.max(this.#confirmedAt, knownAt);
		}
	}

	/** Discards confirmations, including those of pending reads, after updates may have been missed. */
	invalidate(): void {
		this.#invalidatedAt = this.clock.now();
		this.#confirmedAt = Number.NEGATIVE_INFINITY;
	}

	/** Time since the store last confirmed the current version, in milliseconds. */
	get ageMilliseconds(): number {
		return this.clock.now() - this.#confirmedAt;
	}

	/**
	 * Finds the route with the longest matching prefix. Returns `unknown` only if the store recently confirmed the current
	 * version; otherwise the route may be new, and the result is `uncertain`.
	 */
	resolve(host: string, path: string): Resolution {
		const route = this.#byHost.get(host)?.find(candidate => path.startsWith(candidate.pathPrefix));
		if (route !== undefined) {
			return {kind: 'found', route};
		}

		const isFresh = this.clock.now() - this.#confirmedAt <= this.maximumAgeMilliseconds;
		return this.#configuration !== undefined && isFresh ? {kind: 'unknown'} : {kind: 'uncertain'};
	}
}

function groupByHost(routes: readonly QueueRoute[]): Map<string, readonly QueueRoute[]> {
	const sorted = [...routes].sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
	const byHost = new Map<string, QueueRoute[]>();
	for (const route of sorted) {
		const routesOfHost = byHost.get(route.host) ?? [];
		routesOfHost.push(route);
		byHost.set(route.host, routesOfHost);
	}

	return byHost;
}
