/** The configuration in force at this entry. */
import type {Clock} from '../../base/clock.js';
import {Emitter} from '../../base/emitter.js';
import type {ServiceName} from '../../base/service-name.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {QueueRoute} from './queue-route.js';
import type {RoutingConfiguration} from './routing-configuration.js';

/** What a request's host and path lead to. */
type Resolution = {readonly kind: 'found'; readonly route: QueueRoute} | {readonly kind: 'unknown' | 'uncertain'};
/** Where a version came from. */
type Source = 'store' | 'peer';

/**
 * Keeps the highest version that any source offered: sources may be behind, and answers may overtake each other, so that
 * the order of arrival says nothing. It never goes back within a life of the process.
 */
export class RoutingTable {
	#configuration: RoutingConfiguration | undefined;
	#byHost = new Map<string, readonly QueueRoute[]>();
	#confirmedAt = Number.NEGATIVE_INFINITY;
	#distrustedAt = Number.NEGATIVE_INFINITY;
	readonly #services = new Set<ServiceName>();
	readonly #change = new Emitter<RoutingConfiguration>();

	/** `freshMilliseconds`: under the time within which a change has to be in force. */
	constructor(private readonly freshMilliseconds: number, private readonly clock: Clock, private readonly journal: Journal) {}

	get onDidChange() {
		return this.#change.event;
	}

	get configuration(): RoutingConfiguration | undefined {
		return this.#configuration;
	}

	get version(): number {
		return this.#configuration?.version ?? 0;
	}

	/**
	 * All services that any version here has named; nothing before the first version. A service without a queue stays: jobs that
	 * were taken before its last queue went still run there.
	 */
	get services(): ReadonlySet<ServiceName> | undefined {
		return this.#configuration === undefined ? undefined : this.#services;
	}

	/** Takes a version if it's newer than the one in force. */
	update(configuration: RoutingConfiguration, source: Source): void {
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

		this.#change.fire(configuration);
	}

	/** The store answered a read that was sent at a monotonic time: nothing newer was there at the second one, or then. */
	confirm(readAt: number, knownAt = readAt): void {
		if (readAt >= this.#distrustedAt) {
			this.#confirmedAt = Math.max(this.#confirmedAt, knownAt);
		}
	}

	/** The process may have missed something: what was confirmed before, or asked before, proves nothing. */
	invalidate(): void {
		this.#distrustedAt = this.clock.now();
		this.#confirmedAt = Number.NEGATIVE_INFINITY;
	}

	/** How long ago the store last confirmed that nothing newer is there, in milliseconds. */
	get ageMilliseconds(): number {
		return this.clock.now() - this.#confirmedAt;
	}

	/**
	 * The route with the longest matching prefix. `unknown` only where the store lately confirmed that there is no newer
	 * version; else the route may be one that this entry hasn't heard of yet, and the answer is `uncertain`.
	 */
	resolve(host: string, path: string): Resolution {
		const route = this.#byHost.get(host)?.find(candidate => path.startsWith(candidate.pathPrefix));
		if (route !== undefined) {
			return {kind: 'found', route};
		}

		const isFresh = this.clock.now() - this.#confirmedAt <= this.freshMilliseconds;
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
